#!/usr/bin/env bash
# Balancers start from peers while the store is down, and refuse without any.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "joined=3 reverted=0 lost_edits=0 broken_flows=0" \
  join-in-outage --seed 1
