#!/usr/bin/env bash
# Balancers that stop as planned, are killed, and start again, with open flows.
set -euo pipefail
bin=$1
net=127.43
. "$(dirname "$0")/forwarding.bash"
start_forwarding 3

# A planned stop cuts and loses nothing.
traffic 4000 120
sleep 0.5
stop_balancer 2 TERM
logged 2 'event=stopped'
start_balancer 2
until_field in_rotation 3
until_quiet
expect failed 0
expect cut 0
expect_promises

# A reload does not end the process; settings that are wrong change nothing.
kill -HUP "${pid_of[entry-1]}"
until_logged 1 'event=reloaded'
echo nonsense >>"$run/entry-1.toml"
kill -HUP "${pid_of[entry-1]}"
until_logged 1 'event=reload-refused'
write_forward_settings 1

# The file may change without a signal.
printf '[log]\nrecords_per_second = 50\n' >>"$run/entry-2.toml"
until_logged 2 'event=reloaded'

# Killed: other balancers forward its flows by their tags.
traffic 2500 120
sleep 0.5
stop_balancer 3 KILL
sleep 1
start_balancer 3
until_field in_rotation 3
until_quiet
expect cut 0
expect_promises

# All are killed; what they knew comes back from the store.
traffic 3000 120
sleep 0.5
for i in 1 2 3; do stop_balancer $i KILL; done
for i in 1 2 3; do start_balancer $i; done
until_field in_rotation 3
until_quiet
expect cut 0
expect_promises
failed=$(field failed)
traffic 1500 120
until_quiet
expect failed "$failed"

# Stopped while it starts: it ends by itself, without a crash.
stop_balancer 3 TERM
write_forward_settings 3
launch entry-3 "$bin/bramleylockd" --config "$run/entry-3.toml"
sleep 0.02
kill -TERM "${pid_of[entry-3]}" && wait "${pid_of[entry-3]}" && code=0 || code=$?
[ $code = 0 ] || [ $code = 143 ] || { echo "exit code $code" >&2; exit 1; }
