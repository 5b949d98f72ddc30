#!/usr/bin/env bash
# Runs a case five times with the disruption and once without: five.sh N
cd "$(dirname "$0")" || exit 2
for seed in 1 2 3 4 5; do "$1/run.sh" "$seed" >/dev/null; echo "case $1 seed $seed: exit $? $(grep 'FLOW broken' "$1/record.txt" | cut -c 10- | sed 's,altered.*service 0; ,,')"; done
TROUBLE=0 "$1/run.sh" 1 >/dev/null; echo "case $1 without the disruption: exit $? $(grep 'FLOW broken' "$1/record.txt" | cut -c 10- | sed 's,altered.*service 0; ,,')"
