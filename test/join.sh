#!/usr/bin/env bash
# Balancers that start during a store outage get their lists from peers, and
# refuse requests if no peer has them.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "joined=3 reverted=0 lost_edits=0 broken_flows=0" \
  join-in-outage --seed 1
