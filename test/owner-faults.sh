#!/usr/bin/env bash
# Lost, doubled and late packets, lost answers and a killed owner: nothing
# that may run once runs twice, and "not run" is true.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "wrong_answer=0 double_runs=0 false_not_run=0 verdict=held" \
  at-most-once --seed 1 --seconds 9
