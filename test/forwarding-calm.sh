#!/usr/bin/env bash
# Flows through three balancers, and what hostile clients send between them.
set -euo pipefail
bin=$1
net=127.41
. "$(dirname "$0")/forwarding.bash"
start_forwarding 1
traffic 3000 150
for flags in 0 64 16 80 2 255; do
  # Tags that nobody gave, an answer of a host, unknown flags.
  ask raw "{\"flags\": $flags, \"tag\": 305419896}" >/dev/null
  ask raw "{\"flags\": $flags, \"service\": 3323068489}" >/dev/null
done
ask raw '{"bytes": "no packet at all"}' >/dev/null
ask raw '{"bytes": ""}' >/dev/null
until_quiet
expect failed 0
expect cut 0
expect_promises
[ "$(field asked)" -gt 300 ] || { echo "too few requests" >&2; exit 1; }
malformed=0
unknown=0
for i in 1 2 3; do
  malformed=$((malformed + $(counter $i packet_malformed_total)))
  unknown=$((unknown + $(counter $i packet_tag_unknown_total)))
done
[ $malformed -ge 5 ] || { echo "only $malformed malformed packets" >&2; exit 1; }
[ $unknown -ge 1 ] || { echo "no unknown tag was seen" >&2; exit 1; }
# One of the three reads the store; the others hear it from there.
logged 1 'event=flow-opened' && logged 1 'event=state-read'
[ "$(http GET "$net.0.11:8167" /ready)" = '{"ready":true}' ]

# What a balancer believes, for operators; the routers' address tells nothing.
believed() { "$bin/bramleylockctl" --server "$net.0.11:9464" "$@"; }
[[ "$(believed --json status)" == *'"ready":true'*'"routes_version":1'* ]]
[[ "$(believed --json target b-001)" == *'"service":"orders"'* ]]
[[ "$(believed --json targets)" == *'"id":"b-008"'* ]]
[[ "$(believed counters)" == *flows_opened* ]]
[ "$(believed target b-001 | grep -c '"state": "ready"')" = 1 ]
[ "$(http GET "$net.0.11:8167" /targets)" = '{"ready":true}' ]
[[ "$(http GET "$net.0.11:9464" /nothing)" == *'"error":"path"'* ]]
