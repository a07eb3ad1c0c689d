#!/usr/bin/env bash
# Runs three daemons on a stand-in of the users' platform, with a crash of the
# primary, an outage of the store, a graceful stop and a kill; checks the
# callers' results. Then runs more daemons while an account sends several times
# its limit and processes restart, and checks that the limit is kept. Then judges
# each statement at the targets while these refuse set-ups and lose answers.
# Usage: scripts/platform-run.sh [SECONDS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${PRESET:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" --target peridotfalld -- --quiet
python3 tests/platform/run.py "build/$preset/peridotfalld" "${1:-9}" "${2:-1}"
python3 tests/platform/account_limit.py "build/$preset/peridotfalld" 15 "${2:-1}" 9
python3 tests/platform/account_limit.py "build/$preset/peridotfalld" 15 "${2:-1}" 9 \
  7700 restart_counters
python3 tests/platform/session_state.py "build/$preset/peridotfalld" 14 "${2:-1}"
