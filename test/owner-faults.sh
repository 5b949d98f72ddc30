#!/usr/bin/env bash
# Packets are lost, duplicated and delayed, answers are lost, and the owner of a
# flow is killed: no request that may run only once runs twice, and a request
# reported as not run has not run.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "wrong_answer=0 double_runs=0 false_not_run=0 verdict=held" \
  at-most-once --seed 1 --seconds 9
