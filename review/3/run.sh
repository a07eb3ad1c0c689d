#!/usr/bin/env bash
# Usage: review/3/run.sh. TROUBLE=0 runs it without the entry.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/peridotfalld ] || exit 2
exec python3 -B review/3/test.py
