#!/usr/bin/env bash
# Concurrent edits of two operators, and edits whose answer is lost, are applied
# exactly once.
set -euo pipefail
. "$(dirname "$0")/require.bash"
require "$1" "both_refused=0 both_accepted_same_entry=0 other_entries_refused=0 conflicts_shown=10 reverted=0 lost_edits=0" \
  twin-edit --seed 1
require "$1" "edits_in_history=20 store_writes=20 other_outcome_when_repeated=0 reverted=0 lost_edits=0" \
  lost-answer --seed 1 --deployment ticketworks
