# Functions that the other scripts share. Source it after setting dir and bin.

operators_address() { # entry's settings file
  sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$1" | tail -n 1
}

ctl() {
  "$bin/hyssoproadctl" -entry "http://$(operators_address "$dir/entry-01.hujson")" -token-file "$dir/operator-token" "$@"
}

# Writes a deployment, starts it, applies its declarations and waits until they
# are in force everywhere.
bring_up() { # deployment's flags
  "$bin/hyssoproad-bench" deployment -dir "$dir" "$@"
  trap 'scripts/stop.sh "$dir"' EXIT
  scripts/start.sh "$dir"
  ctl apply -f "$dir/declarations"
  for _ in $(seq 100); do
    ctl show rollout where confirmed = false | grep -q false || return 0
    sleep 0.1
  done
  echo "the declarations are not in force everywhere" >&2
  return 1
}
