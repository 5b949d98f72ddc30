#!/usr/bin/env bash
# The operator evacuates failure domains while balancers restart and the store
# is unavailable. Guards against new flows to a domain that the operator is
# about to switch off, against open flows that are cut by an evacuation, and
# against clients that wait for an answer when no domain is left.
set -euo pipefail
bin=$1
net=127.53
. "$(dirname "$0")/forwarding.bash"
start_forwarding 6
for i in 11 12 13 14 15 16; do start_host "b-0$i" orders "$i" 0 there; done
for i in 17 18; do start_host "b-0$i" proofs "$i" 0 there; done
for i in 1 2 3; do for j in 11 12 13 14 15 16 17 18; do wait_until_logged $i "target=b-0$j .*state=ready"; done; done

evacuate() { # failure domain, grace in ms
  post_control evacuate "{\"failure_domain\": \"$1\", \"grace_ms\": $2}" >/dev/null
}

wait_until_evacuated() { # failure domain
  local i
  for i in 1 2 3; do wait_until_logged "$i" "event=evacuation-started .*failure_domain=$1"; done
}

metric_sum() { # metric name without prefix
  local i value sum=0
  for i in 1 2 3; do
    value=$(metric_value "$i" "$1")
    sum=$((sum + ${value:-0}))
  done
  echo "$sum"
}

# Ends an evacuation. The balancers' logs hold one end for each evacuation.
withdraw() { # failure domain
  local i
  post_control evacuate "{\"failure_domain\": \"$1\", \"evacuated\": false}" >/dev/null
  for i in 1 2 3; do wait_until_logged "$i" "event=evacuation-ended .*failure_domain=$1"; done
}

# Under traffic, no new flow goes to the evacuated domain once all balancers
# know of the evacuation. Flows that are open there continue.
start_traffic 2000 100 0 10
wait_until_above flows_in_here 20
wait_until_above kept_answered 10
evacuate here 60000
wait_until_evacuated here
[ "$(metric_sum evacuated_flows_open)" -gt 0 ] || { echo "no open flow in the evacuated failure domain" >&2; exit 1; }
# Packets that were sent before may still be on the way for 200 ms.
evacuate here 200
start_traffic 1500 100
wait_until_idle
expect_field opened_evacuated 0
expect_field cut 0
expect_field failed 0
expect_field kept_unanswered 0

# A balancer that restarts while the store does not respond learns of the
# evacuation from its peers.
post_control store '{"silent": true}' >/dev/null
stop_balancer 3 KILL
wait_for_field in_rotation 2
start_balancer 3
wait_for_field in_rotation 3
start_traffic 1500 100
wait_until_idle
expect_field opened_evacuated 0
has_logged 3 'event=evacuation-started .*failure_domain=here' || { echo "entry-3 did not learn of the evacuation" >&2; exit 1; }
post_control store '{}' >/dev/null

# After all balancers were lost, they read the evacuation from the store.
start_traffic 4000 100
sleep 0.5
for i in 1 2 3; do stop_balancer $i KILL; done
for i in 1 2 3; do start_balancer $i; done
wait_for_field in_rotation 3
wait_until_idle
start_traffic 1000 100
wait_until_idle
expect_field opened_evacuated 0
expect_field cut 0
expect_no_violations

# After the withdrawal, the domain is used again.
withdraw here
used_before=$(report_field flows_in_here)
start_traffic 1500 100
wait_until_idle
[ "$(report_field flows_in_here)" -gt "$used_before" ] || { echo "the domain is not used after the withdrawal" >&2; exit 1; }

# When both domains are evacuated, every attempt of a client is refused, and no
# first packet waits for a target.
evacuate there 60000
wait_until_evacuated there
evacuate there 200
evacuate here 60000
for i in 1 2 3; do
  tries=0
  until [ "$(metric_value $i evacuated_domains)" = 2 ]; do
    tries=$((tries + 1))
    [ $tries -lt 400 ] || { echo "entry-$i does not report two evacuated failure domains" >&2; exit 1; }
    sleep 0.05
  done
done
evacuate here 200
sleep 0.3
asked=$(report_field asked)
answered=$(report_field answered)
refused=$(report_field refused)
waited=$(metric_sum flow_waited_total)
start_traffic 1000 100
wait_until_idle
asked=$(($(report_field asked) - asked))
expect_field answered "$answered"
expect_field refused $((refused + 3 * asked))
[ "$(metric_sum flow_waited_total)" = "$waited" ] || { echo "first packets waited although both domains are evacuated" >&2; exit 1; }
expect_field opened_evacuated 0

# The domain whose evacuation ends first serves alone.
withdraw there
failed=$(report_field failed)
start_traffic 1500 100
wait_until_idle
expect_field failed "$failed"
expect_field opened_evacuated 0
[ "$(report_field answered)" -gt "$answered" ] || { echo "no request was answered after the withdrawal" >&2; exit 1; }
expect_no_violations
