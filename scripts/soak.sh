#!/usr/bin/env bash
# Executes one soak run. hyssoproad-bench serves the stand-ins, sends the load and
# injects the faults. This script starts the processes and restarts each one that
# exits, as the platform does. SEED, TIME, PLANNED=1, ONLY (one kind of
# fault), CLIENTS, SLOW (callers that read slowly) and NETWORK select the run.
set -euo pipefail
seed=${SEED:-1}
dir=${DIR:-build/soak/$seed}
bin=${BIN:-build}
rm -rf "$dir"
mkdir -p "$dir/pids" "$dir/logs"

"$bin/hyssoproad-bench" soak -dir "$dir" -seed "$seed" -time "${TIME:-60s}" -network "${NETWORK:-77}" ${PLANNED:+-planned} ${ONLY:+-only "$ONLY"} ${CLIENTS:+-clients "$CLIENTS"} ${SLOW:+-slow-clients "$SLOW"} 2> "$dir/logs/soak.log" &
bench=$!

# Restarts a process whenever it exits, until the run ends.
supervise() { # name
  local name=$1 program="$bin/hyssoproad-${1%-*}" child
  trap 'kill -KILL "$child" 2>/dev/null || true; exit 0' TERM
  while :; do
    "$program" -settings "$dir/$name.json" -log-level "${LOG_LEVEL:-info}" >> "$dir/logs/$name.log" 2>&1 &
    child=$!
    echo "$child" > "$dir/pids/$name.new"
    mv "$dir/pids/$name.new" "$dir/pids/$name"
    wait "$child" || true
    sleep 0.5 # the platform's delay before a restart
  done
}

while [ ! -e "$dir/written" ] && kill -0 "$bench" 2>/dev/null; do sleep 0.05; done
supervisors=()
for file in "$dir"/*.json; do
  [ -e "$file" ] || continue
  supervise "$(basename "$file" .json)" 2>> "$dir/logs/supervise.log" &
  supervisors+=($!)
done
status=0
wait "$bench" || status=$?
for s in "${supervisors[@]}"; do kill -TERM "$s" 2>/dev/null || true; done
wait
exit $status
