#!/bin/sh
# The stand-ins of these scripts are Python programs, which need no build; this
# checks that they can be read. python3 is 3.11 or later.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11)'
for file in second/*.py [4-8]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
