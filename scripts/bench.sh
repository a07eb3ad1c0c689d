#!/usr/bin/env bash
# Builds the release and runs one measurement.
# Usage: scripts/bench.sh NAME [ARGUMENT...]; NAME of bench/NAME_bench.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?usage: scripts/bench.sh NAME [ARGUMENT...]}
shift
cmake --preset release >/dev/null
cmake --build --preset release -- --quiet
exec "build/release/${name}_bench" "$@"
