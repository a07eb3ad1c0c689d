#!/usr/bin/env bash
# Installs the packages for the build and the tests on Debian 12. Needs root.
set -euo pipefail
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq g++ cmake ninja-build ccache clang-format clang-tidy libasio-dev libboost-dev libnghttp2-dev libgflags-dev libfmt-dev libssl-dev libprotobuf-dev nlohmann-json3-dev prometheus-cpp-dev doctest-dev libyaml-cpp-dev libhttp-parser-dev libspdlog-dev libsqlite3-dev zlib1g-dev libzstd-dev curl python3 >/dev/null
