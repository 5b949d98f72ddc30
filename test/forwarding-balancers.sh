#!/usr/bin/env bash
# Balancers of the forwarding path are stopped, killed, reloaded and restarted
# while flows are open.
set -euo pipefail
bin=$1
net=127.43
. "$(dirname "$0")/forwarding.bash"
start_forwarding 3

# A planned stop (SIGTERM) breaks no flow and loses no request.
start_traffic 4000 120
sleep 0.5
stop_balancer 2 TERM
has_logged 2 'event=stopped'
start_balancer 2
wait_for_field in_rotation 3
wait_until_idle
expect_field failed 0
expect_field cut 0
expect_no_violations

# SIGHUP reloads the settings without ending the process. Invalid settings are
# refused and change nothing.
kill -HUP "${pid_of[entry-1]}"
wait_until_logged 1 'event=reloaded'
echo nonsense >>"$run_dir/entry-1.toml"
kill -HUP "${pid_of[entry-1]}"
wait_until_logged 1 'event=reload-refused'
write_forward_settings 1

# A change of the settings file is also applied without a signal.
printf '[log]\nrecords_per_second = 50\n' >>"$run_dir/entry-2.toml"
wait_until_logged 2 'event=reloaded'

# When a balancer is killed, the others forward its flows by their tags.
start_traffic 2500 120
sleep 0.5
stop_balancer 3 KILL
sleep 1
start_balancer 3
wait_for_field in_rotation 3
wait_until_idle
expect_field cut 0
expect_no_violations

# When all balancers are killed, they read their state from the store again.
start_traffic 3000 120
sleep 0.5
for i in 1 2 3; do stop_balancer $i KILL; done
for i in 1 2 3; do start_balancer $i; done
wait_for_field in_rotation 3
wait_until_idle
expect_field cut 0
expect_no_violations
failed_before=$(report_field failed)
start_traffic 1500 120
wait_until_idle
expect_field failed "$failed_before"

# A balancer that gets SIGTERM during start-up exits without a crash: with code
# 0, or 143 when the signal arrives before its handler is installed.
stop_balancer 3 TERM
write_forward_settings 3
launch entry-3 "$bin/bramleylockd" --config "$run_dir/entry-3.toml"
sleep 0.02
kill -TERM "${pid_of[entry-3]}" && wait "${pid_of[entry-3]}" && code=0 || code=$?
[ $code = 0 ] || [ $code = 143 ] || { echo "exit code $code, expected 0 or 143" >&2; exit 1; }
