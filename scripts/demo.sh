#!/usr/bin/env bash
# Runs the whole system as processes on this machine: a stand-in platform,
# three stand-in targets of one database, an entry daemon in each of three
# failure domains. Places orders in roaming sessions while it kills one
# daemon and then the primary. Ends what it started; exits non-zero where a
# promise broke.
# Usage: scripts/demo.sh [SECONDS]; KEEP=FOLDER keeps the logs there.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
preset=${PRESET:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" --target peridotfalld peridotfall-tool standin-platform standin-target demo_caller -- --quiet
bin=build/$preset
work=$(mktemp -d)
pids=()
cleanup() {
  for it in "${pids[@]}"; do kill -9 "$it" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# Waits until a command succeeds.
await() {
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  echo "never: $*" >&2
  return 1
}
ask() { curl -sf --http2-prior-knowledge "$@"; }

platform=127.0.0.1:7400
$bin/standin-platform --listen $platform >"$work/platform" 2>&1 & pids+=($!)
$bin/standin-target --listen 127.0.0.1:7411 --connections 16 --slots 2 \
  --connect_ms 12 --primary >"$work/press" 2>&1 & primary=$!; pids+=($!)
$bin/standin-target --listen 127.0.0.1:7412 --connections 16 --slots 2 \
  --connect_ms 12 --follow 127.0.0.1:7411 --ship_lag_ms 2 --apply_lag_ms 50 \
  >"$work/depot" 2>&1 & pids+=($!)
$bin/standin-target --listen 127.0.0.1:7413 --connections 16 --slots 2 \
  --connect_ms 12 --follow 127.0.0.1:7411 --ship_lag_ms 8 --apply_lag_ms 150 \
  >"$work/desk" 2>&1 & pids+=($!)
await ask http://$platform/control -d '{}'
ask http://$platform/control -d '{"vms":[
  {"vm":"press-1","domain":"tartu-press","region":"tartu","address":"127.0.0.1:7421"},
  {"vm":"depot-1","domain":"tartu-depot","region":"tartu","address":"127.0.0.1:7422"},
  {"vm":"desk-1","domain":"tallinn-desk","region":"tallinn","address":"127.0.0.1:7423"}]}' >/dev/null

PERIDOTFALL_TOKEN_KEYS=demo:$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
export PERIDOTFALL_TOKEN_KEYS
daemon() {
  $bin/peridotfalld --vm "$1" --domain "$2" --region "$3" \
    --listen "127.0.0.1:743$4" --listen_inner "127.0.0.1:742$4" \
    --platform $platform >"$work/$1" 2>&1 &
  pids+=($!)
}
daemon press-1 tartu-press tartu 1
daemon depot-1 tartu-depot tartu 2; victim=$!
daemon desk-1 tallinn-desk tallinn 3

$bin/peridotfall questionnaire apply examples/lendleht.json \
  --platform $platform --operator_name demo
for n in 1 2 3; do await ask http://127.0.0.1:743$n/readyz; done

$bin/demo_caller --entries 127.0.0.1:7431,127.0.0.1:7432,127.0.0.1:7433 \
  --seconds "$seconds" --kill_file "$work/killed" >"$work/report" 2>"$work/caller.log" &
caller=$!; pids+=($!)
sleep $((seconds / 4)); kill -9 $victim
wait $victim 2>/dev/null || true
echo "killed the daemon depot-1"
sleep $((seconds / 4)); date +%s%3N >"$work/killed"; kill -9 $primary
wait $primary 2>/dev/null || true
echo "killed the primary orders-shop-press"
result=0; wait $caller || result=$?
[ -z "${KEEP:-}" ] || cp -r "$work" "$KEEP"
[ $result -eq 0 ] || tail -n 8 "$work"/caller.log "$work"/*-1
cat "$work/report"
exit $result
