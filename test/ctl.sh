#!/usr/bin/env bash
# Runs the commands of bramleylockctl against a balancer and checks their output
# and exit codes.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
start_platform
write_settings entry-1
start entry-1 "$bin/bramleylockd" --config "$run/entry-1.toml"
ctl() {
  "$bin/bramleylockctl" --server "$(address entry-1 administration)" \
    --token-file "${token:-$run/admin.token}" "$@" >"$run/ctl.out" 2>"$run/ctl.err"
}
expect() { # expected exit code, expected text in the output, command...
  local code=0 wanted=$1 text=$2
  shift 2
  ctl "$@" || code=$?
  [ "$code" = "$wanted" ] && [[ $(cat "$run/ctl.out" "$run/ctl.err") == *"$text"* ]] ||
    { echo "bramleylockctl $*: exit code $code, expected $wanted and '$text' in the output:" >&2
      cat "$run/ctl.out" "$run/ctl.err" >&2; exit 1; }
}
expect 0 '"vm":"entry-1"' --json status
expect 0 'in_force=1 not_yet=none' lists set plans/clubs/weight 3
expect 0 '"weight": 3' lists show
expect 0 '"status": "dry-run"' --dry-run lists set plans/clubs/weight 4
expect 1 'weight' lists set plans/clubs/weight heavy
expect 0 '"plans/clubs"' lists history
expect 0 '"service": "encomendas"' targets
expect 0 'lists_installed' counters
expect 0 'secret_hash=' credential clubs
expect 2 'usage:' lists set plans/clubs/weight
expect 2 'lists apply FILE' no-such-command
ctl --json lists show
sed -n 's/^{"lists":\(.*\),"revision":[0-9]*}$/\1/p' "$run/ctl.out" >"$run/lists.json"
expect 0 '[]' lists diff "$run/lists.json"
sed 's/"weight":3/"weight":5/' "$run/lists.json" >"$run/edited.json"
expect 0 '"path": "plans/clubs"' lists diff "$run/edited.json"
expect 0 'in_force=1' lists apply "$run/edited.json"
expect 0 '"weight": 5' lists show
expect 1 'invalid' lists remove plans/members
printf 'another-token\n' >"$run/other.token"
token=$run/other.token expect 1 'unauthorized' lists show
token=$run/no.token expect 2 '--token-file cannot be read' lists show
expect 0 '"draining": true' drain
