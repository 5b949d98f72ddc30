#!/usr/bin/env bash
# Clients 40 ms away use three balancers without faults. Their round trips must
# be mistaken neither for silent targets nor for load.
set -euo pipefail
bin=$1
net=127.47
. "$(dirname "$0")/forwarding.bash"
start_forwarding 3
start_traffic 4000 150 40
wait_until_idle
expect_field failed 0
expect_field cut 0
expect_field refused 0
expect_no_violations
[ "$(report_field asked)" -gt 400 ] || { echo "$(report_field asked) requests sent, expected more than 400" >&2; exit 1; }
for i in 1 2 3; do
  for metric in target_silent_found flow_repeated flow_waited flow_refused_waited; do
    count=$(metric_value $i ${metric}_total)
    [ "${count:-0}" = 0 ] || { echo "entry-$i: $metric is $count, expected 0" >&2; exit 1; }
  done
done
