# Sourced by the scripts that run a complete system as processes: a stand-in
# platform, three stand-in targets of one database, an entry daemon in each of
# three failure domains, with the addresses of examples/lendleht.json.
# All its processes are ended when the script exits.

preset=${PRESET:-release}
bin=build/$preset
work=$(mktemp -d)
platform=127.0.0.1:7400
entries=127.0.0.1:7431,127.0.0.1:7432,127.0.0.1:7433
declare -A pid # Process ID by name: platform, press, press-1, ...

build_system() {
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" --target peridotfalld peridotfall-tool \
    standin-platform standin-target demo_caller -- --quiet
}

end_system() {
  for it in "${pid[@]}"; do kill -9 "$it" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -z "${KEEP:-}" ] || cp -r "$work" "$KEEP"
  rm -rf "$work"
}
trap end_system EXIT

# Retries a command until it succeeds, 100 times at 0.1 s.
wait_until() {
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  echo "timed out waiting for: $*" >&2
  return 1
}

request() { curl -sf --max-time 5 --http2-prior-knowledge "$@"; }

# start NAME PROGRAM ARGUMENT...
start() {
  local name=$1
  shift
  "$@" >"$work/$name" 2>&1 &
  pid[$name]=$!
}

# target NAME PORT ARGUMENT...: 2 slots and 16 connections, as the brief has.
target() {
  local name=$1 port=$2
  shift 2
  start "$name" $bin/standin-target --listen "127.0.0.1:$port" \
    --connections 16 --slots 2 --connect_ms 12 "$@"
}

# daemon VM DOMAIN REGION NUMBER
daemon() {
  start "$1" $bin/peridotfalld --vm "$1" --domain "$2" --region "$3" \
    --listen "127.0.0.1:743$4" --listen_inner "127.0.0.1:742$4" \
    --platform $platform
}

start_system() {
  start platform $bin/standin-platform --listen $platform
  target press 7411 --primary
  target depot 7412 --follow 127.0.0.1:7411 --ship_lag_ms 2 --apply_lag_ms 50
  target desk 7413 --follow 127.0.0.1:7411 --ship_lag_ms 8 --apply_lag_ms 150
  wait_until request http://$platform/control -d '{}'
  request http://$platform/control -d '{"vms":[
    {"vm":"press-1","domain":"tartu-press","region":"tartu","address":"127.0.0.1:7421"},
    {"vm":"depot-1","domain":"tartu-depot","region":"tartu","address":"127.0.0.1:7422"},
    {"vm":"desk-1","domain":"tallinn-desk","region":"tallinn","address":"127.0.0.1:7423"}]}' >/dev/null
  PERIDOTFALL_TOKEN_KEYS=demo:$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
  export PERIDOTFALL_TOKEN_KEYS
  daemon press-1 tartu-press tartu 1
  daemon depot-1 tartu-depot tartu 2
  daemon desk-1 tallinn-desk tallinn 3
  $bin/peridotfall questionnaire apply examples/lendleht.json \
    --platform $platform --operator_name demo
  for n in 1 2 3; do wait_until request http://127.0.0.1:743$n/readyz; done
}

# Kills a process and prints its name.
kill_process() {
  kill -9 "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null || true
  echo "killed $1"
}

# Starts the callers in the background. Their report goes to $work/callers.
start_callers() { # SECONDS
  start callers $bin/demo_caller --entries $entries --seconds "$1" \
    --kill_file "$work/killed"
}

# Waits for the callers and prints their report. Returns their exit code.
end_callers() {
  local result=0
  wait "${pid[callers]}" || result=$?
  unset "pid[callers]"
  [ $result -eq 0 ] || tail -n 8 "$work"/*-1
  cat "$work/callers"
  return $result
}
