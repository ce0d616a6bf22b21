#!/usr/bin/env bash
# Writes variants of a deployment's site file that nobody tuned the system to, to be
# played by the users' bench: scripts/vary_sites.sh SITE OUT
#   few-places    engines of 24 requests and 9 adapters instead of 64 and 21
#   slow-weights  adapters that take three times as long, of which half as many are kept
#   thin-entries  entries with half of the processor and memory, links of 50 Mbit/s
set -euo pipefail
site=$1 out=$2
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
sed -E 's/(slots|batch) = (64|48),/\1 = 24,/g; s/adapter_slots = [0-9]+/adapter_slots = 9/; s/adapter_host = [0-9]+/adapter_host = 40/' "$site" > "$out/few-places.toml"
sed -E 's/adapter_ms = [0-9.]+/adapter_ms = 750.0/; s/adapter_host = [0-9]+/adapter_host = 60/' "$site" > "$out/slow-weights.toml"
sed -E '/class = "front"/ { s/cpu_share = [0-9.]+/cpu_share = 0.15/; s/memory_mb = [0-9]+/memory_mb = 142/; s/link_mbps = [0-9.]+/link_mbps = 50.0/ }' "$site" > "$out/thin-entries.toml"
for f in "$out"/*.toml; do
  cmp -s "$site" "$f" && { echo "$f: nothing to vary in $site" >&2; exit 1; }
done
exit 0
