#!/usr/bin/env bash
# Runs a deployment under load and injects a fault every second: kills a random
# entry or agent, pauses one for up to 12 s, which can exceed its leases, or cuts or
# stalls the links of an agent. Then checks the callers' responses against the records
# of the stand-ins. SECONDS_OF_FAULTS sets the duration, SEED the choice of faults.
set -euo pipefail
fault_seconds=${SECONDS_OF_FAULTS:-120}
RANDOM=${SEED:-1}
dir=${DIR:-build/chaos}
bin=${BIN:-build}
. scripts/lib.sh
start_deployment -base-port "${BASE_PORT:-21000}" -entries 3 -drafting 4 -dispatch 2 -services 2 -adapters 60 -rate 20 -log-level error -proxied

"$bin/hyssoproad-bench" load -dir "$dir" -duration "${fault_seconds}s" -rate 40 -in-flight 400 -adapters 60 -risky 0.4 -deadline-ms 8000 > "$dir/load.json" &
load=$!

restart() { # name
  local program=hyssoproad-agent
  case $1 in entry-*) program=hyssoproad-entry ;; esac
  "$bin/$program" -settings "$dir/$1.hujson" >> "$dir/logs/$1.log" 2>&1 &
  sed -i "s/^[0-9]* $1\$/$! $1/" "$dir/pids"
}

pause() { # pid seconds
  kill -STOP "$1" 2>/dev/null || return 0
  (sleep "$2"; kill -CONT "$1" 2>/dev/null || true) &
}

set_link_mode() { # agent mode
  curl -s -o /dev/null -d "{\"name\":\"$1\",\"mode\":\"$2\"}" "http://127.0.0.1:${BASE_PORT:-21000}/faults/link"
}

break_link() { # agent mode seconds
  set_link_mode "$1" "$2"
  (sleep "$3"; set_link_mode "$1" open) &
}

kills=0 pauses=0 cuts=0 stalls=0
for _ in $(seq "$fault_seconds"); do
  sleep 1
  mapfile -t rows < <(grep -E ' (entry|agent)' "$dir/pids")
  row=${rows[RANDOM % ${#rows[@]}]}
  pid=${row% *} name=${row#* }
  case $((RANDOM % 4)) in
  0)
    kill -KILL "$pid" 2>/dev/null || true
    restart "$name"
    kills=$((kills + 1))
    ;;
  1)
    pause "$pid" $((1 + RANDOM % 12))
    pauses=$((pauses + 1))
    ;;
  2)
    name=$(grep -o 'agent-.*' "$dir/pids" | sed -n "$((1 + RANDOM % 8))p")
    break_link "${name#agent-}" cut $((1 + RANDOM % 6))
    cuts=$((cuts + 1))
    ;;
  3)
    name=$(grep -o 'agent-.*' "$dir/pids" | sed -n "$((1 + RANDOM % 8))p")
    break_link "${name#agent-}" stall $((1 + RANDOM % 12))
    stalls=$((stalls + 1))
    ;;
  esac
done
status=0
wait "$load" || status=$?
echo "$kills kills, $pauses pauses, $cuts links cut, $stalls stalled"
cat "$dir/load.json"
sleep 12 # let the last pause end before the processes are stopped
exit $status
