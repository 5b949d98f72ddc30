#!/usr/bin/env bash
# Flows through three balancers without faults, while hostile clients send
# forged and malformed packets.
set -euo pipefail
bin=$1
net=127.41
. "$(dirname "$0")/forwarding.bash"
start_forwarding 1
start_traffic 3000 150
for flags in 0 64 16 80 2 255; do
  # Packets with a tag that no target has, and packets to an address without a
  # route, with the flags of clients and hosts and with unknown flags.
  post_control raw "{\"flags\": $flags, \"tag\": 305419896}" >/dev/null
  post_control raw "{\"flags\": $flags, \"service\": 3323068489}" >/dev/null
done
post_control raw '{"bytes": "no packet at all"}' >/dev/null
post_control raw '{"bytes": ""}' >/dev/null
wait_until_idle
expect_field failed 0
expect_field cut 0
expect_no_violations
[ "$(report_field asked)" -gt 300 ] || { echo "$(report_field asked) requests sent, expected more than 300" >&2; exit 1; }
malformed=0
unknown=0
for i in 1 2 3; do
  malformed=$((malformed + $(metric_value $i packet_malformed_total)))
  unknown=$((unknown + $(metric_value $i packet_tag_unknown_total)))
done
[ $malformed -ge 5 ] || { echo "$malformed malformed packets counted, expected at least 5" >&2; exit 1; }
[ $unknown -ge 1 ] || { echo "no packet with an unknown tag was counted" >&2; exit 1; }
# One of the three balancers reads the store and passes the state to the others.
has_logged 1 'event=flow-opened' && has_logged 1 'event=state-read'
[ "$(http_request GET "$net.0.11:8167" /ready)" = '{"ready":true}' ]

# The metrics address shows operators the state of a balancer; the status
# address for routers answers every path with its readiness alone.
balancer_ctl() { "$bin/bramleylockctl" --server "$net.0.11:9464" "$@"; }
[[ "$(balancer_ctl --json status)" == *'"ready":true'*'"routes_version":1'* ]]
[[ "$(balancer_ctl --json target b-001)" == *'"service":"orders"'* ]]
[[ "$(balancer_ctl --json targets)" == *'"id":"b-008"'* ]]
[[ "$(balancer_ctl counters)" == *flows_opened* ]]
[ "$(balancer_ctl target b-001 | grep -c '"state": "ready"')" = 1 ]
[ "$(http_request GET "$net.0.11:8167" /targets)" = '{"ready":true}' ]
[[ "$(http_request GET "$net.0.11:9464" /nothing)" == *'"error":"path"'* ]]
