#!/usr/bin/env bash
# Plays the case "stop": exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the SIGTERM out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/hyssoproad-gateway target/hyssoproad-orderer review/bin/standins; do
  [ -x "$program" ] || { echo "$program is missing: make deploy, review/build.sh" >&2; exit 2; }
done
exec review/bin/standins stop review/1/record.txt
