#!/usr/bin/env bash
# A cut failure domain serves on, and nothing reverts or runs twice after it
# heals.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "reverted=0 double_runs=0 false_not_run=0 wrong_answer=0" \
  domain-cut --seed 1 --deployment cooperative
