#!/usr/bin/env bash
# Starts a whole system on loopback, sends real requests and prints the responses
# and the adapters loaded on each target. The system then runs until interrupted;
# with ONCE=1 it stops at once.
set -euo pipefail
dir=${DIR:-build/local} bin=${BIN:-build}
. scripts/lib.sh
start_deployment
"$bin/hyssoproad-bench" sample -dir "$dir"
echo
sleep 1.2 # reports are delayed
ctl show loaded
echo
ctl show targets
echo
ctl explain route guide-00000@1
if [ "${ONCE:-}" != 1 ]; then
  echo
  echo "operators: $bin/hyssoproadctl -entry http://$(operators_address "$dir/entry-01.hujson") -token-file $dir/operator-token show waiting"
  echo "callers: http://$(sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$dir/entry-01.hujson" | head -n 1), token in $dir/caller-token"
  echo "press Ctrl-C to stop"
  sleep infinity &
  wait $!
fi
