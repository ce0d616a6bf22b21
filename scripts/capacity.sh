#!/usr/bin/env bash
# Samples idle deployments of several sizes and prints slopes and what they come
# to at the size that is designed for.
set -euo pipefail
bin=${BIN:-build}
dir=build/capacity
samples=build/capacity.json
rm -f "$samples"

measure() { # agents entries adapters
  rm -rf "$dir"
  "$bin/hyssoproad-bench" deployment -dir "$dir" -base-port 23000 -entries "$2" -drafting "$1" -dispatch 0 -services 0 -adapters "$3" -log-level error
  scripts/start.sh "$dir"
  entry=$(sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$dir/entry-01.hujson" | tail -n 1)
  "$bin/hyssoproadctl" -entry "http://$entry" -token-file "$dir/operator-token" apply -f "$dir/declarations"
  sleep 5
  "$bin/hyssoproad-bench" capacity -dir "$dir" -samples "$samples" -span "${SPAN:-15s}"
  scripts/stop.sh "$dir"
}

trap 'scripts/stop.sh "$dir"' EXIT
measure 10 3 1000
measure 40 3 1000
measure 100 3 1000
measure 10 6 1000
measure 10 12 1000
measure 10 3 11000
measure 10 3 44000
"$bin/hyssoproad-bench" capacity -fit -samples "$samples"
