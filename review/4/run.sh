#!/bin/sh
# Exits with 1 if an acknowledged commit was lost, 0 if none was, 2 if the case
# could not run. TROUBLE=0: the primaries don't go dark.
exec timeout --preserve-status -k 5 115 python3 "$(dirname "$0")/case.py"
