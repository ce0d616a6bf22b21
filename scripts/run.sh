#!/usr/bin/env bash
# Brings a whole system up on loopback, sends real requests and prints the
# answers and what is loaded where. It then stays up until interrupted, or ends
# at once with ONCE=1.
set -euo pipefail
dir=${DIR:-build/local}
bin=${BIN:-build}
"$bin/hyssoproad-bench" deployment -dir "$dir"
trap 'scripts/stop.sh "$dir"' EXIT
scripts/start.sh "$dir"
entry=$(sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$dir/entry-01.hujson" | tail -n 1)
ctl=("$bin/hyssoproadctl" -entry "http://$entry" -token-file "$dir/operator-token")
"${ctl[@]}" apply -f "$dir/declarations"
for _ in $(seq 50); do
  "${ctl[@]}" show rollout where confirmed = false | grep -q false || break
  sleep 0.1
done
"$bin/hyssoproad-bench" sample -dir "$dir"
echo
"${ctl[@]}" show loaded
echo
"${ctl[@]}" show targets
if [ "${ONCE:-}" != 1 ]; then
  echo
  echo "operators: ${ctl[*]} show waiting"
  echo "callers: $(sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$dir/entry-01.hujson" | head -n 1), token in $dir/caller-token; press Ctrl-C to stop"
  sleep infinity &
  wait $!
fi
