#!/usr/bin/env bash
# The platform's store returns from an outage with an older copy. Its revisions
# go back, and the operator and the hosts write again. Guards against skipped
# changes of the routes, and against flows to targets that have left.
set -euo pipefail
bin=$1
net=127.49
. "$(dirname "$0")/forwarding.bash"
start_forwarding 5

target_state() { # balancer number, target
  http_request GET "$net.0.1$1:9464" "/targets?id=$2" | grep -oE '"state": ?"[a-z]+"' | grep -oE '[a-z]+"$' | tr -d '"'
}

post_control store-copy >/dev/null
inject_host_fault b-006 drain
inject_host_fault b-005 gone
start_host b-009 orders 9
for i in 1 2 3; do
  wait_until_logged $i 'target=b-006 .*state=draining'
  wait_until_logged $i 'event=target-departed .*target=b-005'
  wait_until_logged $i 'target=b-009 .*state=ready'
done

# While the store is away it is restored. The new history passes the revision of
# the lost one before any balancer reads it.
start_traffic 4000 100
post_control store '{"status": 503}' >/dev/null
for i in 1 2 3; do wait_until_logged $i 'event=store-lost'; done
post_control store-restore >/dev/null
version=$(post_control configuration '{"list_service": "orders"}' | grep -oE '[0-9]+')
for n in 1 1 1 1 1 1 2 3 4; do inject_host_fault "b-00$n" listed; done
post_control store '{}' >/dev/null
for i in 1 2 3; do
  wait_until_logged $i "event=routes-installed .*version=$version "
  wait_until_logged $i 'event=state-restored'
  [ "$(target_state $i b-006)" = draining ] || { echo "entry-$i uses a target that had begun to drain" >&2; exit 1; }
  [ "$(target_state $i b-005)" = departed ] || { echo "entry-$i uses a target that had departed" >&2; exit 1; }
done
inject_host_fault b-009 listed
for i in 1 2 3; do wait_until_logged $i 'target=b-009 .*state=ready .*revision=2\.'; done
wait_until_idle
expect_field failed 0
expect_field cut 0
expect_no_violations

# One full reading follows the restore, not one after each watch.
readings=$(cat "$run_dir"/entry-*.out | grep -c 'event=state-history-gone' || true)
[ "$readings" -le 3 ] || { echo "$readings watches were rejected" >&2; exit 1; }
