#!/usr/bin/env bash
# Targets of the forwarding path become unresponsive, drain, restart under the
# same id, and give up their address, which another service then uses.
set -euo pipefail
bin=$1
net=127.42
. "$(dirname "$0")/forwarding.bash"
start_forwarding 2

# Unresponsive target: its flows move to other targets before the client sends
# the request again, so that no flow is lost for good.
start_traffic 2500 120
sleep 0.5
inject_host_fault b-001 dark
sleep 1
inject_host_fault b-001 light
wait_until_idle
expect_no_violations
for i in 1 2 3; do has_logged $i 'event=target-silent .*target=b-001' && was_logged=1; done
[ "${was_logged:-0}" = 1 ] || { echo "no balancer logged target-silent for b-001" >&2; exit 1; }

# Draining target: it gets no new flows once the balancers know of the drain,
# and its open flows complete.
failed_before=$(report_field failed)
cut_before=$(report_field cut)
start_traffic 2500 120
sleep 0.5
inject_host_fault b-002 drain
wait_until_logged 1 'event=target-changed .*target=b-002 .*state=draining'
inject_host_fault b-002 unlisted
wait_until_logged 1 'event=target-departed .*target=b-002'
wait_until_idle
expect_field failed "$failed_before"
expect_field cut "$cut_before"

# The address of a removed target is reused by a target of the other service.
inject_host_fault b-003 gone
wait_until_logged 1 'event=target-departed .*target=b-003'
start_host b-093 proofs 3
wait_until_logged 1 'event=target-changed .*target=b-093'
start_traffic 1500 120
wait_until_idle
expect_field failed "$failed_before"

# A target restarts under the same id and has lost the state of its flows.
start_traffic 1500 120
sleep 0.4
start_host b-004 orders 4
wait_until_idle
expect_no_violations

# Targets restart under their ids and serve before their new entries arrive. The
# flows that they open meanwhile are not reset.
cut_before=$(report_field cut_by_balancer)
start_traffic 4000 200 100
for i in 1 4 6 1 4 6; do
  sleep 0.5
  start_host "b-00$i" orders $i 300
done
wait_until_idle
expect_field cut_by_balancer "$cut_before"
expect_no_violations

# A target whose entry cannot be parsed is removed; the others continue to
# serve.
failed_before=$(report_field failed)
inject_host_fault b-005 spoilt
wait_until_logged 1 'event=target-departed .*target=b-005'
start_traffic 1000 100
wait_until_idle
expect_field failed "$failed_before"
inject_host_fault b-005 listed
wait_until_logged 1 'event=target-changed .*target=b-005'
expect_no_violations

# One odd entry: no balancer ends or stops following the list, and the other
# targets continue to serve.
wait_until_logged_again() { # regular expression, number of records before
  local tries=0
  until [ "$(grep -c "$1" "$run_dir/entry-1.out")" -gt "$2" ]; do
    tries=$((tries + 1))
    [ $tries -lt 400 ] || { echo "entry-1 did not log again: $1" >&2; exit 1; }
    sleep 0.05
  done
}
departed='event=target-departed .*target=b-005'
changed='event=target-changed .*target=b-005'
for fault in deep number port; do
  failed_before=$(report_field failed)
  before=$(grep -c "$departed" "$run_dir/entry-1.out")
  inject_host_fault b-005 $fault
  wait_until_logged_again "$departed" "$before"
  start_traffic 1000 100
  wait_until_idle
  expect_field failed "$failed_before"
  before=$(grep -c "$changed" "$run_dir/entry-1.out")
  inject_host_fault b-005 listed
  wait_until_logged_again "$changed" "$before"
done
for i in 1 2 3; do
  ! has_logged $i 'event=task-failed' || { echo "a task of entry-$i failed" >&2; exit 1; }
  ! has_logged $i 'event=store-lost' || { echo "entry-$i lost the store" >&2; exit 1; }
done
expect_no_violations
