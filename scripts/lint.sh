#!/usr/bin/env bash
# Checks format and lint as in CI. Usage: scripts/lint.sh [--changed]
# --changed: only files that differ from main.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/debug
[ -f $build/compile_commands.json ] || cmake --preset debug >/dev/null

files() { git ls-files --cached --others --exclude-standard "$@" | grep -v '\.pb\.'; }
if [ "${1:-}" = --changed ]; then
  files() { { git diff --name-only main -- "$@"; git ls-files --others --exclude-standard "$@"; } | sort -u | grep -v '\.pb\.' | xargs -r ls 2>/dev/null || true; }
fi

files '*.h' '*.cpp' | xargs -r clang-format --dry-run --Werror
# The example builds against the installed library, outside this build.
files '*.cpp' | grep -v '^examples/' | xargs -r -P "$(nproc)" -n 1 \
  scripts/tidy.py $build 2> >(grep -v 'warnings generated' >&2)
echo "format and lint: clean"
