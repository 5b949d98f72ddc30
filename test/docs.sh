#!/usr/bin/env bash
# Checks that the documentation for operators describes every counter, setting,
# administration route and scenario, and mentions no scenario that does not
# exist.
set -euo pipefail
bin=$1
cd "$(dirname "$0")/.."
status=0
report_missing() {
  echo "$1" >&2
  status=1
}
for counter in $(sed -n 's/.*{ Counter::[A-Za-z]*, "\([a-z_]*\)" }.*/\1/p' \
  include/bramleylock/Support/Counters.h); do
  grep -q "\`$counter\`" docs/OPERATING.md docs/operating/*.md ||
    report_missing "counter $counter is not described in docs/OPERATING.md or docs/operating/"
done
while read -r method path; do
  grep -qE "^\| \`$method $path(\?[^\`]*)?\` \|" docs/ADMIN-API.md ||
    report_missing "route $method $path is not described in docs/ADMIN-API.md"
done < <(sed -n 's/^    { "\([A-Z]*\)", "\([a-z/]*\)", [a-z]*, &AdminApi::.*/\1 \2/p' lib/Kernel/AdminApi.cpp)
section=
while IFS= read -r line; do
  case $line in
    '['*) section=${line#\[} section=${section%\]} ;;
    [a-z]*' = '*)
      grep -q "\`$section.${line%% = *}\`" docs/OPERATING.md docs/operating/*.md ||
        report_missing "setting $section.${line%% = *} is not described in docs/OPERATING.md or docs/operating/" ;;
  esac
done < <("$bin/bramleylockd" --print-defaults)
scenarios=$("$bin/bramleylock-measure" --list | cut -d ' ' -f 1)
for mentioned in $(grep -rhoE '`bramleylock-measure [a-z-]+' README.md docs | cut -d ' ' -f 2 | sort -u); do
  [ "$mentioned" = SCENARIO ] || [[ $mentioned = --* ]] || grep -qx -- "$mentioned" <<<"$scenarios" ||
    report_missing "the documentation mentions scenario $mentioned, which does not exist"
done
for scenario in $scenarios; do
  grep -rq -- "$scenario" docs/*.md docs/operating || report_missing "scenario $scenario is not mentioned in docs/"
done
exit $status
