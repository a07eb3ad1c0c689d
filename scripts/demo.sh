#!/usr/bin/env bash
# Runs the whole system as processes on this machine (scripts/system.sh).
# Places orders in roaming sessions while it kills one daemon and then the
# primary. Ends what it started; exits non-zero where a promise broke.
# Usage: scripts/demo.sh [SECONDS]; KEEP=FOLDER keeps the logs there.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh
seconds=${1:-10}
build_system
start_system
start_callers "$seconds"
sleep $((seconds / 4))
kill_part depot-1
sleep $((seconds / 4))
date +%s%3N >"$work/killed"
kill_part press
end_callers
