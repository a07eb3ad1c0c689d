#!/usr/bin/env bash
# Long random runs in virtual time, with a checker of the callers' results.
# Usage: scripts/soak.sh [--seed N] [--seconds S] [--seeds A..B]
# Ends with "operations N, faults N, failovers N, violations N". Exits non-zero
# on a violation. The same seed gives the same output.
set -euo pipefail
cd "$(dirname "$0")/.."
args=()
while [ $# -gt 0 ]; do
  case $1 in
  --seed | --seconds | --seeds) args+=("$1=${2:?$1 needs a value}"); shift 2 ;;
  *) echo "usage: scripts/soak.sh [--seed N] [--seconds S] [--seeds A..B]" >&2
     exit 2 ;;
  esac
done
cmake --preset release >/dev/null
cmake --build --preset release --target soak_bench -- --quiet
exec build/release/soak_bench "${args[@]}"
