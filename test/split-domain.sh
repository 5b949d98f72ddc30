#!/usr/bin/env bash
# A balancer that its failure domain held dead is taken back after a cut.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "double_runs=0 false_not_run=0 verdict=held" \
  split-domain --seed 1 --deployment ticketworks
