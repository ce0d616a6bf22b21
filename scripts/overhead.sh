#!/usr/bin/env bash
# Compares the latency of requests through an entry with that of direct calls to the
# same engine.
set -euo pipefail
dir=build/overhead bin=${BIN:-build}
. scripts/lib.sh
start_deployment -base-port 26000 -drafting 1 -dispatch 0 -services 0 -adapters 1 -token-time 1us -log-level warn
"$bin/hyssoproad-bench" overhead -dir "$dir" -requests "${REQUESTS:-3000}"
