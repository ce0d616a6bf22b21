#!/usr/bin/env bash
# Writes variants of a deployment's site file for the users' bench. The system was
# not tuned for these variants. Usage: scripts/vary_sites.sh SITE OUT
#   few-places    engines with room for 24 requests and 9 adapters instead of 64 and 21
#   slow-weights  adapters that take three times as long to load; the host keeps half
#                 as many
#   thin-entries  entries with half the CPU and memory, and links of 50 Mbit/s
#   three-models  three base models; an engine has room for one
set -euo pipefail
site=$1 out=$2
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
sed -E 's/(slots|batch) = (64|48),/\1 = 24,/g; s/adapter_slots = [0-9]+/adapter_slots = 9/; s/adapter_host = [0-9]+/adapter_host = 40/' "$site" > "$out/few-places.toml"
sed -E 's/adapter_ms = [0-9.]+/adapter_ms = 750.0/; s/adapter_host = [0-9]+/adapter_host = 60/' "$site" > "$out/slow-weights.toml"
sed -E '/class = "front"/ { s/cpu_share = [0-9.]+/cpu_share = 0.15/; s/memory_mb = [0-9]+/memory_mb = 142/; s/link_mbps = [0-9.]+/link_mbps = 50.0/ }' "$site" > "$out/thin-entries.toml"
sed -E 's/only = \[0\]/only = [0, 1, 2]/; /name = "m0"/ { h; s/share = 1.0/share = 0.7/; p; g; s/"m0"/"m1"/; s/share = 1.0/share = 0.2/; s/adapters = [0-9]+/adapters = 300/; p; g; s/"m0"/"m2"/; s/share = 1.0/share = 0.1/; s/adapters = [0-9]+/adapters = 100/ }' "$site" > "$out/three-models.toml"
for f in "$out"/*.toml; do
  cmp -s "$site" "$f" && { echo "$f: variant equals $site" >&2; exit 1; }
done
exit 0
