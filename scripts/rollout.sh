#!/usr/bin/env bash
# Measures the time from a configuration change until it is in force on every
# process: once without faults and once with a relay killed halfway.
set -euo pipefail
dir=build/rollout bin=${BIN:-build}
. scripts/lib.sh
start_deployment -base-port 27000 -entries 6 -drafting 24 -dispatch 0 -services 0 -adapters 100 -log-level warn
"$bin/hyssoproad-bench" rollout -dir "$dir" -changes 30
"$bin/hyssoproad-bench" rollout -dir "$dir" -changes 30 -kill
