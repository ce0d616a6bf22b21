#!/usr/bin/env bash
# Stops the processes that start.sh started. Agents and entries stop first, so
# that they can drain while the stand-ins still run.
set -uo pipefail
dir=${1:?deployment directory}
[ -f "$dir/pids" ] || exit 0

signal() { # pattern
  grep -E "$1" "$dir/pids" | while read -r pid _; do kill -TERM "$pid" 2>/dev/null; done
}

wait_for_exit() { # pattern
  grep -E "$1" "$dir/pids" | while read -r pid _; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || continue 2
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
  done
}

signal ' (entry|agent)'
wait_for_exit ' (entry|agent)'
signal ' stand-ins'
wait_for_exit ' stand-ins'
rm -f "$dir/pids"
