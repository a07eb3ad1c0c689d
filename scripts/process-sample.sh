#!/usr/bin/env bash
# Injects a sample of faults into real processes under load. Each fault gets a
# new system, and the callers' report tells whether the guarantees were kept.
# The fault matrix runs all faults in virtual time; this script checks that the
# processes behave like the state machines.
# Usage: scripts/process-sample.sh [FAULT...]; default: all of the sample.
set -uo pipefail
cd "$(dirname "$0")/.."
faults=(kill-entry kill-owner kill-primary freeze-primary cut-primary
  kill-replica freeze-entry platform-down-kill-primary platform-slow)
[ $# -eq 0 ] || faults=("$@")

# Injects one fault. Records the time at which the primary fails, from which the
# callers compute the failover gap.
inject_fault() {
  case $1 in
  kill-entry) kill_process desk-1 ;;
  kill-owner) kill_process press-1 ;;
  kill-primary) record_failure_time; kill_process press ;;
  freeze-primary) record_failure_time; kill -STOP "${pid[press]}"; sleep 3; kill -CONT "${pid[press]}" ;;
  cut-primary) record_failure_time; request http://127.0.0.1:7411/control -d '{"cut":true}' >/dev/null; sleep 3
    request http://127.0.0.1:7411/control -d '{"cut":false}' >/dev/null ;;
  kill-replica) kill_process depot ;;
  freeze-entry) kill -STOP "${pid[depot-1]}"; sleep 2; kill -CONT "${pid[depot-1]}" ;;
  platform-down-kill-primary) request http://$platform/control -d '{"down":true}' >/dev/null
    sleep 1; record_failure_time; kill_process press ;;
  platform-slow) request http://$platform/control -d '{"delayMs":1500}' >/dev/null ;;
  *) echo "unknown fault: $1" >&2; return 2 ;;
  esac
}
record_failure_time() { date +%s%3N >"$work/killed"; }

run_one() (
  . scripts/system.sh
  start_system >/dev/null || exit 1
  start_callers 8
  sleep 3
  inject_fault "$1" >/dev/null || exit 2
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
