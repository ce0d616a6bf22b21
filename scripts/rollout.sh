#!/usr/bin/env bash
# Has changes accepted and measures the time until every process has them in
# force; once as it is, and once with a relay killed in between.
set -euo pipefail
dir=build/rollout bin=${BIN:-build}
. scripts/lib.sh
bring_up -base-port 27000 -entries 6 -drafting 24 -dispatch 0 -services 0 -adapters 100 -log-level warn
"$bin/hyssoproad-bench" rollout -dir "$dir" -changes 30
"$bin/hyssoproad-bench" rollout -dir "$dir" -changes 30 -kill
