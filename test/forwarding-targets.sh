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
traffic 2500 120
sleep 0.5
harm b-001 dark
sleep 1
harm b-001 light
until_quiet
expect_promises
for i in 1 2 3; do logged $i 'event=target-silent .*target=b-001' && found=1; done
[ "${found:-0}" = 1 ] || { echo "no balancer logged target-silent for b-001" >&2; exit 1; }

# Draining target: it gets no new flows once the balancers know of the drain,
# and its open flows complete.
failed=$(field failed)
cut=$(field cut)
traffic 2500 120
sleep 0.5
harm b-002 drain
until_logged 1 'event=target-changed .*target=b-002 .*state=draining'
harm b-002 unlisted
until_logged 1 'event=target-departed .*target=b-002'
until_quiet
expect failed "$failed"
expect cut "$cut"

# The address of a removed target is reused by a target of the other service.
harm b-003 gone
until_logged 1 'event=target-departed .*target=b-003'
host b-093 proofs 3
until_logged 1 'event=target-changed .*target=b-093'
traffic 1500 120
until_quiet
expect failed "$failed"

# A target restarts under the same id and has lost the state of its flows.
traffic 1500 120
sleep 0.4
host b-004 orders 4
until_quiet
expect_promises

# A target whose entry cannot be parsed is removed; the others continue to
# serve.
failed=$(field failed)
harm b-005 spoilt
until_logged 1 'event=target-departed .*target=b-005'
traffic 1000 100
until_quiet
expect failed "$failed"
harm b-005 listed
until_logged 1 'event=target-changed .*target=b-005'
expect_promises
