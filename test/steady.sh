#!/usr/bin/env bash
# Requests of every kind of work get complete answers, although the packets of a
# flow arrive at different balancers.
set -euo pipefail
. "$(dirname "$0")/require.bash"
for deployment in cooperative ticketworks; do
  require "$1" "broken_flows=0 wrong_service=0 wrong_answer=0 double_runs=0 false_not_run=0" \
    steady --seed 1 --seconds 3 --deployment $deployment
done
