#!/usr/bin/env bash
# Starts the processes of a deployment on loopback and waits until all are ready.
# Writes the process ids to <dir>/pids and the logs to <dir>/logs.
set -euo pipefail
dir=${1:?deployment directory}
bin=${BIN:-build}
mkdir -p "$dir/logs"
: > "$dir/pids"

launch() { # name, command...
  local name=$1
  shift
  "$@" > "$dir/logs/$name.log" 2>&1 &
  echo "$! $name" >> "$dir/pids"
}

launch stand-ins "$bin/hyssoproad-bench" stand-ins -settings "$dir/stand-ins.hujson"
sleep 0.3
for file in "$dir"/entry-*.hujson; do
  launch "$(basename "$file" .hujson)" "$bin/hyssoproad-entry" -settings "$file"
done
for file in "$dir"/agent-*.hujson; do
  launch "$(basename "$file" .hujson)" "$bin/hyssoproad-agent" -settings "$file"
done

ready() { # settings file
  local address
  address=$(sed -n 's/^ *"status": "\(.*\)",$/\1/p' "$1")
  curl -fsS -o /dev/null "http://$address/readyz" 2>/dev/null
}

for file in "$dir"/entry-*.hujson "$dir"/agent-*.hujson; do
  for _ in $(seq 150); do
    ready "$file" && continue 2
    sleep 0.1
  done
  echo "$(basename "$file" .hujson) did not become ready; see $dir/logs" >&2
  exit 1
done
