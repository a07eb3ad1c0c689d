#!/usr/bin/env bash
# Fuzzes each parser of external input with a fixed number of inputs, under the
# address and undefined-behaviour sanitizers.
# Usage: scripts/fuzz.sh [COUNT [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-5000}
seed=${2:-1}
build=build/debug
[ -f $build/build.ninja ] || cmake --preset debug >/dev/null
failing=$(mktemp)
trap 'rm -f "$failing"' EXIT
for source in fuzz/*_fuzz.cpp; do
  name=$(basename "$source" _fuzz.cpp)
  cmake --build $build --target "${name}_fuzz" -- --quiet
  echo "$name, seed $seed:"
  if ! $build/"${name}_fuzz" "fuzz/corpus/$name" "$seed" "$count" "$failing"; then
    echo "failing input (base64; add it to fuzz/corpus/$name):"
    base64 "$failing"
    exit 1
  fi
done
