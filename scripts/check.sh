#!/usr/bin/env bash
# Sends 1,000 requests, 200 in flight, for 300 adapters, while engines delay chunks
# and send chunks on the wrong stream. Exits 1 unless every caller gets its own
# complete response.
set -euo pipefail
dir=build/check bin=${BIN:-build}
. scripts/lib.sh
start_deployment -base-port 25000 -drafting 6 -rate 100 -log-level warn
"$bin/hyssoproad-bench" load -dir "$dir" -requests 1000 -in-flight 200 -adapters 300 -crossed 0.3 -late 0.2 -risky 0.1 -strict
