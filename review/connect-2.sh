#!/usr/bin/env bash
# Not a case: runs the scenario "connect" with the daemon of `scripts/build
# sanitize`, or with the given one. Exits with 1 if a balancer ended by itself.
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 118 target/review-2/cases-2 connect \
  "${1:-build-sanitize/bin/bramleylockd}" "$folder" "$folder/record.txt" 1 1
code=$?
grep "by themselves" "$folder/record.txt"
grep -h -A 3 "ERROR: AddressSanitizer" "$folder"/*.log | cut -c 1-110 | head -4
exit "$code"
