#!/usr/bin/env bash
# Runs the tests that KNOWN-RED.txt doesn't list; all of them must pass. Then runs the
# listed tests, whose result is only printed. Arguments are passed to go test.
set -euo pipefail
known=$(grep -E '^Test' KNOWN-RED.txt | paste -sd '|' || true)
args=("$@")
output=$(mktemp)
trap 'rm -f "$output"' EXIT

unlisted() { # packages
  go test "${args[@]}" ${known:+-skip "^($known)\$"} "$@" 2>&1 | tee "$output"
}

# Prints the packages in which the race detector itself crashed, as KNOWN-RED.txt describes,
# while no test failed, no race was reported and all other packages passed. Each crash
# prints one of the two lines; a nil pointer in Go code prints "panic: " instead.
crashed_packages() {
  [[ " ${args[*]} " == *" -race "* ]] || return 1
  ! grep -qE '^ *--- FAIL|DATA RACE|^panic: |^fatal error: ' "$output" || return 1
  local failed crashes
  failed=$(grep -E '^FAIL[[:space:]]+[^[:space:]]' "$output" | cut -f2)
  ! grep -vE '^github.com/hyssoproad/hyssoproad/pkg/(gateway|system)$' <<< "$failed" > /dev/null || return 1
  crashes=$(grep -cE '^(ThreadSanitizer: CHECK failed|SIGSEGV: segmentation violation$)' "$output")
  [ "$crashes" -ge "$(wc -l <<< "$failed")" ] || return 1
  echo "$failed"
}

if ! unlisted ./...; then
  crashed=$(crashed_packages) || exit 1
  echo "known red, see KNOWN-RED.txt: the race detector crashed in" $crashed"; the tests run again on one thread"
  GOMAXPROCS=1 unlisted $crashed || exit 1
fi
[ -n "$known" ] || exit 0
echo "known red, see KNOWN-RED.txt:"
go test "$@" -run "^($known)\$" ./... || echo "still red: $known"
