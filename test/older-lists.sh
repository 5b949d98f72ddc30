#!/usr/bin/env bash
# Neither a store that was restored from a backup or emptied, nor a balancer
# that resumes after a pause, reverts the lists to an older revision.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "store_holds_all=1 superseded=0 reverted=0 lost_edits=0 refused_edits=0" \
  store-restored-older --seed 1
require "$1" "paused=6 reverted=0 lost_edits=0 refused_edits=0" \
  paused-watcher --seed 1

require "$1" "held_after_emptying=1 held_after_outage=1 broken_flows=0 token_forged=0 reverted=0 lost_edits=0 refused_edits=0" \
  store-emptied --seed 1
