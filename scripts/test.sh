#!/usr/bin/env bash
# Builds and runs all tests. Usage: scripts/test.sh [PRESET...]
# Presets: debug (address and undefined-behaviour sanitizers), tsan, release.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- debug tsan
for preset in "$@"; do
  echo "== $preset"
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" -- --quiet
  ctest --test-dir "build/$preset" -j "$(nproc)" --output-on-failure
done
