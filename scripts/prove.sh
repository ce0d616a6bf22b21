#!/usr/bin/env bash
# Proves that tests fail without the mechanism that they check. Each line of
# scripts/mechanisms.txt names a test, its package, a file, and a sed expression that
# takes the mechanism out of that file. The working tree is not changed. PARALLEL (default
# 3) is the number of tests that run at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

prove() { # number test package file expression
  local dir="$work/$1" changed="$work/$1/changed.go" output="$work/$1/output"
  mkdir "$dir"
  shift
  sed -E "$4" "$3" > "$changed"
  if cmp -s "$changed" "$3"; then
    echo "NOT TAKEN OUT  $1: the expression does not change $3"
    return 1
  fi
  printf '{"Replace": {"%s": "%s"}}' "$PWD/$3" "$changed" > "$dir/overlay.json"
  if go test -timeout 20s -overlay "$dir/overlay.json" -run "^$1\$" "./$2" > "$output" 2>&1; then
    echo "STILL PASSES   $1 without $3: $4"
    return 1
  fi
  if grep -qE 'build failed|no tests to run' "$output" || ! grep -qE -- "--- FAIL: $1|^panic:|^fatal error:" "$output"; then
    echo "NOT RUN        $1:"
    cat "$output"
    return 1
  fi
  echo "fails as it must  $1"
}

number=0
while IFS='|' read -r test package file expression; do
  [[ -z $test || $test == \#* ]] && continue
  while [ "$(jobs -rp | wc -l)" -ge "${PARALLEL:-3}" ]; do sleep 0.1; done
  number=$((number + 1))
  { prove "$number" "$test" "$package" "$file" "$expression" || touch "$work/failed"; } &
done < scripts/mechanisms.txt
wait
[ ! -e "$work/failed" ]
