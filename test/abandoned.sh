#!/usr/bin/env bash
# A cancelled request is cancelled at its target too, and a request whose
# deadline has passed is never started.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "busy_after_cancel=0 started_late=0 wrong_service=0 wrong_answer=0 double_runs=0 false_not_run=0" \
  abandoned-work --seed 1
