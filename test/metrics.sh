#!/usr/bin/env bash
# /metrics reports the latencies of requests, of their time in the queue and of
# targets. It requires the token, like every route except /healthz.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
start_store_and_target
write_settings entry-1
launch_and_wait entry-1 "$bin/bramleylockd" --config "$run_dir/entry-1.toml"
wait_until_serving "$(ready_address entry-1 administration)"
fetch_metrics() { http_request GET "$(ready_address entry-1 administration)" /metrics '' administration-token; }
expect_line() { # expected line
  grep -qxF -- "$1" <<<"$metrics_text" || { echo "missing in /metrics: $1" >&2; printf '%s\n' "$metrics_text" >&2; exit 1; }
}
for id in 1 2 3; do
  "$bin/bramleylock-call" --server "$(ready_address entry-1 callers)" \
    --credential-file "$example/clubs.credential" --service encomendas \
    --work confirm --payload "id=metrics-$id ms=5 bytes=40"
done
metrics_text=$(fetch_metrics)
expect_line 'bramleylock_requests_answered_total 3'
expect_line '# TYPE bramleylock_request_seconds summary'
expect_line 'bramleylock_request_seconds_count{outcome="answered",urgency="urgent"} 3'
expect_line 'bramleylock_request_seconds_count{outcome="unfinished"} 0'
expect_line 'bramleylock_queue_wait_seconds_count{urgency="urgent"} 3'
expect_line 'bramleylock_target_seconds_count{urgency="urgent"} 3'
# Each of the three requests takes 5 ms at the target, so neither sum can be
# less than 15 ms.
for metric in request target; do
  awk -v metric="bramleylock_${metric}_seconds_sum" \
    'index($1, metric) == 1 && /urgency="urgent"/ { found = $2 >= 0.015 } END { exit !found }' \
    <<<"$metrics_text" || { echo "bramleylock_${metric}_seconds_sum is below 0.015" >&2; exit 1; }
done
# Only /healthz is available without the token.
grep -q '"ready":true' <<<"$(http_request GET "$(ready_address entry-1 administration)" /healthz)" ||
  { echo "/healthz without a token did not report ready" >&2; exit 1; }
for path in metrics status targets counters lists lists/history; do
  grep -q '"error":"unauthorized"' <<<"$(http_request GET "$(ready_address entry-1 administration)" /$path '' wrong)" ||
    { echo "/$path with a wrong token was not refused" >&2; exit 1; }
done
metrics_text=$(fetch_metrics)
expect_line 'bramleylock_admin_unauthorized_total 6'
