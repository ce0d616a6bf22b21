#!/usr/bin/env bash
# Plays the regression runs on the users' bench (large, further, further-grown and both
# grown sites) and prints one table beside the last committed one.
#   FLEETBENCH: the bench; SITES: the folder that holds the sites' folders;
#   WHY: the line for the journal; OUT: the table, docs/regression.tsv unless set.
set -euo pipefail
: "${FLEETBENCH:?the path of the bench}" "${SITES:?the folder of the sites}"
cd "$(dirname "$0")/.."
out=${OUT:-docs/regression.tsv}
sites=(large/bsl-route-large further/tpbda-oatline further-grown/tpbda-oatline-grown
  grown/bsl-route-grown grown/relieve-mx-grown)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints site, day and worth of each standard day, and the gate, from a score's output.
rows() { # site < output
  awk -v site="$1" -v OFS='\t' '
    $2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh-/ { print site, $1, $4; if ($1 !~ /^quiet/) { sum += $4; n++ } }
    /^GATE / { gate = $2 }
    END { if (n) printf "%s\tmean-with-trouble\t%.3f\n", site, sum / n; print site, "gate", gate ? gate : "not-played" }'
}

for site in "${sites[@]}"; do
  "$FLEETBENCH" score "$SITES/$site.toml" ${JOBS:+--jobs "$JOBS"} --why "${WHY:-regression run}" > "$work/score" 2>&1 || true
  rows "$(basename "$site")" < "$work/score" >> "$work/table"
done
git show "HEAD:$out" > "$work/before" 2>/dev/null || true
awk -F '\t' -v OFS='\t' 'BEGIN { print "site", "day", "before", "now" }
  FILENAME == ARGV[1] { before[$1, $2] = $3; next }
  { print $1, $2, (($1, $2) in before) ? before[$1, $2] : "-", $3 }' "$work/before" "$work/table" | column -t -s $'\t'
cp "$work/table" "$out"
