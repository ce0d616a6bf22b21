#!/usr/bin/env bash
# Measures the resource use of an entry and an agent per request and token: streams
# long responses through one entry and samples the processes at the same time.
set -euo pipefail
dir=build/tokens bin=${BIN:-build}
. scripts/lib.sh
samples=build/tokens.json
rm -f "$samples"
start_deployment -base-port 28000 -entries 1 -drafting 4 -dispatch 0 -services 0 -adapters 4 -rate 50 -token-time "${TOKEN_TIME:-10ms}" -log-level error
for in_flight in 8 16 32; do
  "$bin/hyssoproad-bench" load -dir "$dir" -duration 14s -in-flight "$in_flight" -adapters 4 -skew 0 -tokens 200 -streamed 1 > build/tokens-load.json &
  load=$!
  sleep 3
  "$bin/hyssoproad-bench" capacity -dir "$dir" -samples "$samples" -span 8s
  wait "$load"
  grep -o '"tokens-per-second":[0-9.]*' build/tokens-load.json
done
cat "$samples"
