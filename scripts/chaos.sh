#!/usr/bin/env bash
# Runs a deployment under load while a random entry or agent is killed, or
# paused past its leases, every second; then checks the callers' answers against
# the stand-ins' own records. SECONDS_OF_FAULTS and SEED set length and choice.
set -euo pipefail
length=${SECONDS_OF_FAULTS:-120}
RANDOM=${SEED:-1}
dir=${DIR:-build/chaos}
bin=${BIN:-build}
. scripts/lib.sh
bring_up -base-port "${BASE_PORT:-21000}" -entries 3 -drafting 4 -dispatch 2 -services 2 -adapters 60 -rate 20 -log-level error

"$bin/hyssoproad-bench" load -dir "$dir" -duration "${length}s" -rate 40 -in-flight 400 -adapters 60 -risky 0.4 -deadline-ms 8000 > "$dir/load.json" &
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

kills=0 pauses=0
for _ in $(seq "$length"); do
  sleep 1
  mapfile -t rows < <(grep -E ' (entry|agent)' "$dir/pids")
  row=${rows[RANDOM % ${#rows[@]}]}
  pid=${row% *} name=${row#* }
  if ((RANDOM % 2)); then
    kill -KILL "$pid" 2>/dev/null || true
    restart "$name"
    kills=$((kills + 1))
  else
    pause "$pid" $((1 + RANDOM % 12))
    pauses=$((pauses + 1))
  fi
done
status=0
wait "$load" || status=$?
echo "$kills kills, $pauses pauses"
cat "$dir/load.json"
sleep 12 # the last pause ends before the processes are stopped
exit $status
