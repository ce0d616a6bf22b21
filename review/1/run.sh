#!/usr/bin/env bash
# Plays the case "stop": exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the SIGTERM out.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standins stop review/1/record.txt
