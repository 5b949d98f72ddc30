#!/usr/bin/env bash
# Exits with 1 if an open flow was reset by another than its host, 0 if none was, 2 if the case
# could not run. TROUBLE=0 leaves out the rolling restart.
cd "$(dirname "$0")"
export TROUBLE=${TROUBLE:-1}
[ -x ../../target/bin/bramleylockd ] || { echo "target/bin/bramleylockd is missing" >&2; exit 2; }
timeout -k 5 118 python3 case.py
code=$?
[ $code -le 1 ] && exit $code
exit 2
