#!/usr/bin/env bash
# Plays the case. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here" && cd "$(git rev-parse --show-toplevel 2>/dev/null || echo ../..)" || exit 2
[ -x build/review-3/standins3 ] || { echo "review/build-3.sh has not run"; exit 2; }
exec build/review-3/standins3 version "$here"
