#!/usr/bin/env bash
# Installs the library into a temporary folder, builds examples/embed against
# only the installed library, and runs it.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cmake --preset release >/dev/null
cmake --build --preset release --target peridotfall -- --quiet
cmake --install build/release --component library --prefix "$folder/usr" >/dev/null
cmake -G Ninja -S examples/embed -B "$folder/build" \
  -DCMAKE_BUILD_TYPE=Release -DCMAKE_PREFIX_PATH="$folder/usr" >/dev/null
cmake --build "$folder/build" -- --quiet
"$folder/build/embed"
