#!/usr/bin/env bash
# The caller of a slow request gets a first reply from the flow's owner before
# the caller's retransmission timeout.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "queue_first_reply=accepted proof_first_reply=accepted verdict=held" \
  first-packet --seed 1 --deployment cooperative
require "$1" "layout_first_reply=accepted sheet_first_reply=accepted verdict=held" \
  first-packet --seed 1 --deployment ticketworks
