#!/usr/bin/env bash
# Builds the release preset and runs bench/NAME_bench.cpp.
# Usage: scripts/bench.sh NAME [ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?usage: scripts/bench.sh NAME [ARGUMENT...]}
shift
cmake --preset release >/dev/null
cmake --build --preset release -- --quiet
exec "build/release/${name}_bench" "$@"
