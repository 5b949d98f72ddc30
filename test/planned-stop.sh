#!/usr/bin/env bash
# All balancers of a failure domain are drained during a store outage, and no
# flow breaks.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "broken_flows=0 refused_by_drain=0 double_runs=0 false_not_run=0 verdict=held" \
  drain-faults --seed 1 --seconds 7 --deployment ticketworks
