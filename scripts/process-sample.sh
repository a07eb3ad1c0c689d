#!/usr/bin/env bash
# A sample of faults on real processes under load: each strikes a system
# started anew, and the callers' report tells whether the promises held. The
# fault matrix runs all of them in virtual time; this is the check that the
# processes behave as the state machines do.
# Usage: scripts/process-sample.sh [FAULT...]; without, all of them.
set -uo pipefail
cd "$(dirname "$0")/.."
faults=(kill-entry kill-owner kill-primary freeze-primary cut-primary
  kill-replica freeze-entry platform-down-kill-primary platform-slow)
[ $# -eq 0 ] || faults=("$@")

# Strikes one fault. The time of the primary's end is noted for the gap.
strike() {
  case $1 in
  kill-entry) kill_part desk-1 ;;
  kill-owner) kill_part press-1 ;;
  kill-primary) note; kill_part press ;;
  freeze-primary) note; kill -STOP "${pid[press]}"; sleep 3; kill -CONT "${pid[press]}" ;;
  cut-primary) note; ask http://127.0.0.1:7411/control -d '{"cut":true}' >/dev/null; sleep 3
    ask http://127.0.0.1:7411/control -d '{"cut":false}' >/dev/null ;;
  kill-replica) kill_part depot ;;
  freeze-entry) kill -STOP "${pid[depot-1]}"; sleep 2; kill -CONT "${pid[depot-1]}" ;;
  platform-down-kill-primary) ask http://$platform/control -d '{"down":true}' >/dev/null
    sleep 1; note; kill_part press ;;
  platform-slow) ask http://$platform/control -d '{"delayMs":1500}' >/dev/null ;;
  *) echo "no such fault: $1" >&2; return 2 ;;
  esac
}
note() { date +%s%3N >"$work/killed"; }

run_one() (
  . scripts/system.sh
  start_system >/dev/null || exit 1
  start_callers 8
  sleep 3
  strike "$1" >/dev/null || exit 2
  [ -f "$work/killed" ] || date +%s%3N >"$work/killed"
  end_callers
)

. scripts/system.sh
build_system
broken=0
for it in "${faults[@]}"; do
  echo "== $it"
  run_one "$it" || broken=$((broken + 1))
done
echo "faults ${#faults[@]}, broken $broken"
[ $broken -eq 0 ]
