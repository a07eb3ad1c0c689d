#!/usr/bin/env bash
# Runs a complete system as local processes (scripts/system.sh). Sessions that
# switch daemons place orders while the script kills one daemon and then the
# primary. Ends all its processes; exits non-zero if a guarantee was violated.
# Usage: scripts/demo.sh [SECONDS]; KEEP=FOLDER copies the logs there.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh
seconds=${1:-10}
build_system
start_system
start_callers "$seconds"
sleep $((seconds / 4))
kill_process depot-1
sleep $((seconds / 4))
date +%s%3N >"$work/killed"
kill_process press
end_callers
