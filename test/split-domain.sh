#!/usr/bin/env bash
# A balancer that its failure domain considered dead during a partition rejoins
# after the partition heals.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "double_runs=0 false_not_run=0 verdict=held" \
  split-domain --seed 1 --deployment ticketworks
