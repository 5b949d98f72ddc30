#!/usr/bin/env bash
# A failure domain that is cut off from the others keeps serving. After the
# partition heals, no edit is reverted and no request runs twice.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "reverted=0 double_runs=0 false_not_run=0 wrong_answer=0" \
  domain-cut --seed 1 --deployment cooperative
