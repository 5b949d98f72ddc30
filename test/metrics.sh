#!/usr/bin/env bash
# /metrics reports the latencies of requests, of their time in the queue and of
# targets. It requires the token, like every route except /healthz.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
start_platform
write_settings entry-1
start entry-1 "$bin/bramleylockd" --config "$run/entry-1.toml"
await_serving "$(address entry-1 administration)"
metrics() { http GET "$(address entry-1 administration)" /metrics '' administration-token; }
has() { # expected line
  grep -qxF -- "$1" <<<"$text" || { echo "missing in /metrics: $1" >&2; printf '%s\n' "$text" >&2; exit 1; }
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
# Each of the three requests takes 5 ms at the target, so neither sum can be
# less than 15 ms.
for metric in request target; do
  awk -v metric="bramleylock_${metric}_seconds_sum" \
    'index($1, metric) == 1 && /urgency="urgent"/ { found = $2 >= 0.015 } END { exit !found }' \
    <<<"$text" || { echo "bramleylock_${metric}_seconds_sum is below 0.015" >&2; exit 1; }
done
# Only /healthz is available without the token.
grep -q '"ready":true' <<<"$(http GET "$(address entry-1 administration)" /healthz)" ||
  { echo "/healthz without a token did not report ready" >&2; exit 1; }
for path in metrics status targets counters lists lists/history; do
  grep -q '"error":"unauthorized"' <<<"$(http GET "$(address entry-1 administration)" /$path '' wrong)" ||
    { echo "/$path with a wrong token was not refused" >&2; exit 1; }
done
text=$(metrics)
has 'bramleylock_admin_unauthorized_total 6'
