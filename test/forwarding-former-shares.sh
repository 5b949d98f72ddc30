#!/usr/bin/env bash
# A version of the configuration takes a service off a route while flows to it
# are open, and then one balancer and all balancers are lost. Guards against
# balancers that have never seen the earlier version and drop the packets of
# these flows, and against requests at a service that no version allowed.
set -euo pipefail
bin=$1
net=127.54
. "$(dirname "$0")/forwarding.bash"
start_forwarding 7
for i in 21 22 23 24; do start_host "b-0$i" archive "$i"; done
start_host b-031 drafts 31 # a service that no version allows

change_configuration '{"list_backends": [{"service": "orders", "weight": 1}, {"service": "archive", "weight": 1}]}'
for i in 1 2 3; do for j in 21 22 23 24; do wait_until_logged $i "target=b-0$j .*state=ready"; done; done
start_traffic 2000 60 0 15
sleep 2.2

# Open flows to the removed service continue; new flows go to the other one.
change_configuration '{"list_backends": []}'
sleep 0.5
opened=$(report_field flows_at_archive)
[ "$opened" -gt 10 ] || { echo "$opened flows were opened at the second service, expected more than 10" >&2; exit 1; }
runs=$(report_field runs_at_archive)
start_traffic 12000 60
wait_until_above runs_at_archive "$runs"

expect_runs_at_archive_continue() { # what happened before
  local runs
  runs=$(report_field runs_at_archive)
  wait_until_above runs_at_archive "$runs" || { echo "no request runs on the kept flows after $1" >&2; return 1; }
}

# One balancer is lost while the store does not respond. Its successor learns
# the former service from peers.
post_control store '{"silent": true}' >/dev/null
stop_balancer 3 KILL
wait_for_field in_rotation 2
start_balancer 3
wait_for_field in_rotation 3
expect_runs_at_archive_continue "the restart of one balancer"
for i in 1 2 3; do expect_zero_metric $i packet_tag_unknown; done
post_control store '{}' >/dev/null

# All balancers are lost. Their successors read the former service from the
# store.
for i in 1 2 3; do stop_balancer $i KILL; done
for i in 1 2 3; do start_balancer $i; done
wait_for_field in_rotation 3
expect_runs_at_archive_continue "the restart of all balancers"
wait_until_idle
for i in 1 2 3; do expect_zero_metric $i packet_tag_unknown; done
expect_field flows_at_archive "$opened"
expect_field flows_at_drafts ""
expect_field cut 0
expect_no_violations
