#!/usr/bin/env bash
# 1,000 requests at 200 in flight over 300 adapters while the engines' answers
# come late and crossed. Exits 1 unless every caller gets its own whole answer.
set -euo pipefail
dir=build/check bin=${BIN:-build}
. scripts/lib.sh
bring_up -base-port 25000 -drafting 6 -rate 100 -log-level warn
"$bin/hyssoproad-bench" load -dir "$dir" -requests 1000 -in-flight 200 -adapters 300 -crossed 0.3 -late 0.2 -risky 0.1 -strict
