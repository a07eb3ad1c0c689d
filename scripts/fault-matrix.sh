#!/usr/bin/env bash
# Every fault at every place and step, in virtual time.
# Usage: scripts/fault-matrix.sh [--pairs] [--seed N]
# Prints each cell's verdict and ends with "cells N, run N, impossible N,
# violations N"; the exit code is not 0 where a promise was broken or a cell
# was neither run nor marked impossible.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release --target matrix_bench -- --quiet
exec build/release/matrix_bench "$@"
