#!/usr/bin/env bash
# When connections to targets become silent, only the requests in flight on them
# fail.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "broken_otherwise=0 wrong_service=0 wrong_answer=0 double_runs=0 false_not_run=0" \
  silent-connections --seed 1
