#!/usr/bin/env bash
# Samples idle deployments of several sizes, fits lines to the samples and prints
# their slopes and values at the design size.
set -euo pipefail
dir=build/capacity bin=${BIN:-build}
samples=build/capacity.json
rm -f "$samples"

. scripts/lib.sh

measure() { # agents entries adapters
  rm -rf "$dir"
  start_deployment -base-port 23000 -entries "$2" -drafting "$1" -dispatch 0 -services 0 -adapters "$3" -log-level error
  sleep 5
  "$bin/hyssoproad-bench" capacity -dir "$dir" -samples "$samples" -span "${SPAN:-15s}"
  scripts/stop.sh "$dir"
}

measure 10 3 1000
measure 40 3 1000
measure 100 3 1000
measure 10 6 1000
measure 10 12 1000
measure 10 3 11000
measure 10 3 44000
"$bin/hyssoproad-bench" capacity -fit -samples "$samples"
