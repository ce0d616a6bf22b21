#!/usr/bin/env bash
# Brings a whole system up on loopback, sends real requests and prints the
# answers and what is loaded where. It then stays up until interrupted, or ends
# at once with ONCE=1.
set -euo pipefail
dir=${DIR:-build/local} bin=${BIN:-build}
. scripts/lib.sh
bring_up
"$bin/hyssoproad-bench" sample -dir "$dir"
echo
sleep 1.2 # reports lag
ctl show loaded
echo
ctl show targets
if [ "${ONCE:-}" != 1 ]; then
  echo
  echo "operators: $bin/hyssoproadctl -entry http://$(operators_address "$dir/entry-01.hujson") -token-file $dir/operator-token show waiting"
  echo "callers: http://$(sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$dir/entry-01.hujson" | head -n 1), token in $dir/caller-token"
  echo "press Ctrl-C to stop"
  sleep infinity &
  wait $!
fi
