#!/usr/bin/env bash
# Runs the curl lines of docs/API.md unchanged and in order against a complete
# system. A line that ends with grep has to match; any other has to get the
# outcome "done".
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh
build_system
start_system >/dev/null
API=http://127.0.0.1:7431/v1/databases/orders-shop
OTHER=http://127.0.0.1:7433/v1/databases/orders-shop
CURL="curl -s --max-time 10 --http2-prior-knowledge"
# Writes can succeed only once an owner has found the primary.
wait_until sh -c "$CURL $API/statements -d '{\"kind\":\"order-status\",\"sql\":\"SELECT 1\"}' | grep -q done"
n=0
while IFS= read -r line; do
  out=$(mktemp)
  if ! eval "$line" >"$out"; then
    echo "command failed: $line" >&2
    exit 1
  fi
  case $line in
  *=\$*) ;; # Assigns a variable.
  *grep*) ;;
  *) grep -q '"outcome":"done"' "$out" || { echo "outcome is not done: $line" >&2; cat "$out" >&2; exit 1; } ;;
  esac
  rm -f "$out"
  n=$((n + 1))
done < <(sed -n '/^```sh$/,/^```$/p' docs/API.md | grep -v '^```')
echo "docs/API.md: $n lines run"
