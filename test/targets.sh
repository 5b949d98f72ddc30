#!/usr/bin/env bash
# Draining targets get no new requests, and health endpoints that report false
# values do not affect the choice of targets.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "broken_flows=0 wrong_service=0 wrong_answer=0 double_runs=0 false_not_run=0 late_new_work=0" \
  target-drain --seed 1 --seconds 7
require "$1" "broken_flows=0 wrong_service=0 wrong_answer=0 double_runs=0 false_not_run=0 refused=0" \
  lying-health --seed 1 --seconds 5 --deployment ticketworks
