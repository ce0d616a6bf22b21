#!/usr/bin/env bash
# Stops the processes that start.sh started: agents and entries first, so that
# they can drain, then the stand-ins.
set -uo pipefail
dir=${1:?deployment directory}
[ -f "$dir/pids" ] || exit 0

signal() { # pattern
  grep -E "$1" "$dir/pids" | while read -r pid _; do kill -TERM "$pid" 2>/dev/null; done
}

gone() { # pattern
  grep -E "$1" "$dir/pids" | while read -r pid _; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || continue 2
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
  done
}

signal ' (entry|agent)'
gone ' (entry|agent)'
signal ' stand-ins'
gone ' stand-ins'
rm -f "$dir/pids"
