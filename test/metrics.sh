#!/usr/bin/env bash
# /metrics tells the latencies of requests, of their wait and of targets, and
# takes the token like every route but /healthz.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
start_platform
write_settings entry-1
start entry-1 "$bin/bramleylockd" --config "$run/entry-1.toml"
await_serving "$(address entry-1 administration)"
metrics() { http GET "$(address entry-1 administration)" /metrics '' administration-token; }
has() {
  grep -qxF -- "$1" <<<"$text" || { echo "missing: $1" >&2; printf '%s\n' "$text" >&2; exit 1; }
}
for id in 1 2 3; do
  "$bin/bramleylock-call" --server "$(address entry-1 callers)" \
    --credential-file "$example/clubs.credential" --service encomendas \
    --work confirm --payload "id=metrics-$id ms=5 bytes=40"
done
text=$(metrics)
has 'bramleylock_requests_answered_total 3'
has '# TYPE bramleylock_request_seconds summary'
has 'bramleylock_request_seconds_count{outcome="answered",urgency="urgent"} 3'
has 'bramleylock_request_seconds_count{outcome="unfinished"} 0'
has 'bramleylock_queue_wait_seconds_count{urgency="urgent"} 3'
has 'bramleylock_target_seconds_count{urgency="urgent"} 3'
# The target takes 5 ms, so neither latency can be shorter.
for metric in request target; do
  awk -v metric="bramleylock_${metric}_seconds_sum" \
    'index($1, metric) == 1 && /urgency="urgent"/ { found = $2 >= 0.015 } END { exit !found }' \
    <<<"$text" || { echo "${metric}_seconds_sum is too low" >&2; exit 1; }
done
# Only the health of a balancer is told without the token.
grep -q '"ready":true' <<<"$(http GET "$(address entry-1 administration)" /healthz)" ||
  { echo "/healthz needs a token" >&2; exit 1; }
for path in metrics status targets counters lists lists/history; do
  grep -q '"error":"unauthorized"' <<<"$(http GET "$(address entry-1 administration)" /$path '' wrong)" ||
    { echo "/$path needs no token" >&2; exit 1; }
done
text=$(metrics)
has 'bramleylock_admin_unauthorized_total 6'
