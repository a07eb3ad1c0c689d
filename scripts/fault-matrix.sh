#!/usr/bin/env bash
# Runs every fault at every component and step in virtual time.
# Usage: scripts/fault-matrix.sh [--pairs] [--seed N]
# Prints each cell's verdict and ends with "cells N, run N, impossible N,
# violations N". Exits non-zero if a guarantee was violated or a cell was
# neither run nor marked impossible.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release --target matrix_bench -- --quiet
exec build/release/matrix_bench "$@"
