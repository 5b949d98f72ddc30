#!/usr/bin/env bash
# Runs one scripted case: run-case.sh CASE FOLDER [SEED]. With TROUBLE=0 the
# disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run.
set -u
case=$1 folder=$2 seed=${3:-1}
cd "$(dirname "$0")/.." || exit 2
[ -x target/bin/bramleylockd ] && [ -x target/review/standin ] || {
  echo "build with the deploy file's command and review/build.sh first" >&2
  exit 2
}
work=$(mktemp -d) || exit 2
target/review/standin "$case" "$folder/record.txt" "$work" "$seed" "${TROUBLE:-1}" &
pid=$!
trap 'kill -KILL "$pid" 2>/dev/null' TERM INT
( for _ in $(seq 117); do sleep 1; kill -0 "$pid" 2>/dev/null || exit 0; done; kill -KILL "$pid" ) &
guard=$!
wait "$pid"
rc=$?
kill "$guard" 2>/dev/null
wait "$guard" 2>/dev/null
rm -rf "$work"
case $rc in
  0 | 1) ;;
  *) rc=2 ;;
esac
tail -n 3 "$folder/record.txt"
exit "$rc"
