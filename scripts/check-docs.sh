#!/usr/bin/env bash
# Checks the pages that are generated from code or measurements.
# Usage: scripts/check-docs.sh [--write]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/debug
[ -f $build/build.ninja ] || cmake --preset debug >/dev/null
cmake --build $build --target events_page -- --quiet
page=$(mktemp)
trap 'rm -f "$page"' EXIT
$build/events_page >"$page"
if [ "${1:-}" = --write ]; then
  cp "$page" docs/EVENTS.md
elif ! diff -u docs/EVENTS.md "$page"; then
  echo "docs/EVENTS.md does not match src/telemetry/events.def;" \
    "see scripts/check-docs.sh --write"
  exit 1
fi
scripts/check-capacity.py "$@"
