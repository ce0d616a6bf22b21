# Functions shared by the other scripts. Set dir and bin before sourcing this file.

operators_address() { # entry's settings file
  sed -n 's/^ *"listen": "\(.*\)",$/\1/p' "$1" | tail -n 1
}

ctl() {
  "$bin/hyssoproadctl" -entry "http://$(operators_address "$dir/entry-01.hujson")" -token-file "$dir/operator-token" "$@"
}

# Writes a deployment, starts it, applies its declarations and waits until they
# are in force on all processes.
start_deployment() { # flags of hyssoproad-bench deployment
  "$bin/hyssoproad-bench" deployment -dir "$dir" "$@"
  trap 'scripts/stop.sh "$dir"' EXIT
  scripts/start.sh "$dir"
  ctl apply -f "$dir/declarations"
  for _ in $(seq 100); do
    ctl show rollout where confirmed = false | grep -q false || return 0
    sleep 0.1
  done
  echo "timed out waiting for the declarations to be in force on all processes" >&2
  return 1
}
