#!/usr/bin/env bash
# Runs the commands of bramleylockctl against a balancer and checks their output
# and exit codes.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
start_store_and_target
write_settings entry-1
launch_and_wait entry-1 "$bin/bramleylockd" --config "$run_dir/entry-1.toml"
ctl() {
  "$bin/bramleylockctl" --server "$(ready_address entry-1 administration)" \
    --token-file "${token:-$run_dir/admin.token}" "$@" >"$run_dir/ctl.out" 2>"$run_dir/ctl.err"
}
expect() { # expected exit code, expected text in the output, command...
  local code=0 expected_code=$1 expected_text=$2
  shift 2
  ctl "$@" || code=$?
  [ "$code" = "$expected_code" ] && [[ $(cat "$run_dir/ctl.out" "$run_dir/ctl.err") == *"$expected_text"* ]] ||
    { echo "bramleylockctl $*: exit code $code, expected $expected_code and '$expected_text' in the output:" >&2
      cat "$run_dir/ctl.out" "$run_dir/ctl.err" >&2; exit 1; }
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
sed -n 's/^{"lists":\(.*\),"revision":[0-9]*}$/\1/p' "$run_dir/ctl.out" >"$run_dir/lists.json"
expect 0 '[]' lists diff "$run_dir/lists.json"
sed 's/"weight":3/"weight":5/' "$run_dir/lists.json" >"$run_dir/edited.json"
expect 0 '"path": "plans/clubs"' lists diff "$run_dir/edited.json"
expect 0 'in_force=1' lists apply "$run_dir/edited.json"
expect 0 '"weight": 5' lists show
expect 1 'invalid' lists remove plans/members
printf 'another-token\n' >"$run_dir/other.token"
token=$run_dir/other.token expect 1 'unauthorized' lists show
token=$run_dir/no.token expect 2 '--token-file cannot be read' lists show
expect 0 '"draining": true' drain
