#!/usr/bin/env bash
# Checks the exit codes and the output of bramleylock-check on a valid file,
# files that cannot be read as JSON, and files with each kind of finding.
set -euo pipefail
bin=$1
run_dir=$(mktemp -d)
trap 'rm -rf "$run_dir"' EXIT
cd "$run_dir"
cat >valid.json <<'JSON'
{ "version": 7,
  "routes": [
    { "name": "orders", "host": "198.18.0.1", "prefix": "/443/", "type": "unsafe", "timeoutMs": 2000, "latencyGoalMs": 200, "prio": 1, "service": "orders" },
    { "name": "proofs", "host": "198.18.0.2", "prefix": "/443/", "type": "download", "timeoutMs": 2000, "backends": [
      { "service": "proofs", "weight": 3 },
      { "service": "drafts", "weight": 1 } ] }
  ],
  "services": [
    { "name": "orders", "healthPath": "/health", "coldStartS": 3, "coldPerS": 2 },
    { "name": "proofs", "healthPath": "/health" },
    { "name": "drafts", "healthPath": "/health" }
  ],
  "limits": { "idleTimeoutMs": 15000 } }
JSON
expect() { # expected exit code, expected text in the output, arguments...
  local code=0 expected_code=$1 expected_text=$2
  shift 2
  "$bin/bramleylock-check" "$@" >out 2>err || code=$?
  [ "$code" = "$expected_code" ] && [[ $(cat out err) == *"$expected_text"* ]] ||
    { echo "bramleylock-check $*: exit code $code, expected $expected_code and '$expected_text' in the output:" >&2
      cat out err >&2; exit 1; }
}
# Checks valid.json with one change.
expect_changed() { # expected exit code, expected text, sed expression, arguments...
  local expected_code=$1 expected_text=$2
  sed "$3" valid.json >changed.json
  ! cmp -s valid.json changed.json || { echo "sed '$3' changes nothing" >&2; exit 1; }
  shift 3
  expect "$expected_code" "$expected_text" changed.json "$@"
}

expect 0 '' valid.json
[ ! -s out ] && [ ! -s err ] || { echo "output for a valid file:" >&2; cat out err >&2; exit 1; }
expect 0 '{"errors":0,"findings":[],"warnings":0}' valid.json --format json

# Files that cannot be read.
expect 2 'missing.json:0: error: -: the file cannot be read' missing.json
expect 2 '.:0: error: -: the file cannot be read' .
: >empty.json
expect 2 'empty.json:1: error: -: the file is empty' empty.json
echo 'version = 7' >settings.toml
expect 2 'settings.toml:1: error: -: syntax error' settings.toml
echo '[7]' >array.json
expect 2 'array.json:1: error: -: must be a JSON object, is [7]' array.json
head -c 1000000 /dev/zero | tr '\0' '[' >deep.json
expect 2 'deep.json:1: error: -: nested deeper than 32 levels' deep.json
expect_changed 2 'changed.json:5: error: -: syntax error' '5s/}/]/'

# Malformed entries.
expect_changed 2 'changed.json:1: error: version: must be an integer' '1s/7/"7"/'
expect_changed 2 'changed.json:3: error: routes[0].host: ' '3s/198/x/'
expect_changed 2 'changed.json:6: error: routes[1].backends[1].weight: ' '6s/1 }/-1 }/'
expect_changed 2 'changed.json:10: error: services[1].healthPath: missing' '10s/healthPath/path/'
expect_changed 2 'changed.json:13: error: limits.idleTimeoutMs: ' '13s/15000/true/'
expect_changed 1 'changed.json:3: warning: routes[0].timeoutMs: ' '3s/2000/"2 s"/'
expect_changed 1 'changed.json:3: warning: routes[0].type: unknown type' '3s/unsafe/save/'
expect_changed 1 'changed.json:10: warning: services[1].name: repeated key' '10s/{/{ "name": "x",/'

# Entries that can never match.
expect_changed 1 'changed.json:3: warning: routes[0].host: route "orders" is never used: routes[1] (line 4)' '4s/0\.2/0.1/'
expect_changed 1 'changed.json:6: warning: routes[1].backends[1].weight: ' '6s/1 }/0 }/'
expect_changed 1 'changed.json:5: warning: routes[1].backends[0].weight: all weights' '5s/3/0/; 6s/1 }/0 }/'
expect_changed 1 'changed.json:11: warning: services[2]: no route names' '6s/drafts/proofs/'
expect_changed 1 'changed.json:11: warning: services[2]: service "proofs" is never used' '6s/drafts/proofs/; 11s/drafts/proofs/'

# Limits that contradict each other.
expect_changed 1 'changed.json:3: warning: routes[0].latencyGoalMs: ' '3s/2000/100/'
expect_changed 1 'changed.json:3: warning: routes[0].timeoutMs: ' '3s/2000/60001/'
expect_changed 0 '' '3s/2000/60001/' --longest-flow-seconds 61
expect_changed 1 'changed.json:13: warning: limits.idleTimeoutMs: ' '13s/15000/0/'
expect_changed 1 'changed.json:13: warning: limits.idleTimeoutMs: ' '13s/15000/60001/'
expect_changed 1 'changed.json:9: warning: services[0].coldPerS: ' '9s/"coldStartS": 3, //'
expect_changed 1 'changed.json:3: warning: routes[0].service: ' '3s/"service": "orders"/"service": "order"/'

# Differences from the version in force.
expect 2 'valid.json:1: error: version: version 7 is not above version 7' valid.json --in-force valid.json
newer='1s/7/8/'
expect_changed 0 '' "$newer" --in-force valid.json
expect_changed 0 'changed.json:4: note: routes[1]: route "proofs" at 198.18.0.3:443 is added' "$newer; 4s/0\.2/0.3/; 3s/0\.1/0.2/" --in-force <(sed '3s/0\.1/0.2/; 4d; 5d; 6d; 3s/,$//' valid.json)
expect_changed 1 'changed.json:2: warning: routes: route "proofs" at 198.18.0.2:443 is removed' "$newer; 4s/0\.2/0.3/" --in-force valid.json
expect_changed 0 'changed.json:5: note: routes[1].backends[0].weight: the weight of service "proofs" changes from 3 to 4' "$newer; 5s/3/4/" --in-force valid.json
expect_changed 0 'changed.json:3: note: routes[0].timeoutMs: the timeout in ms changes from 2000 to 3000' "$newer; 3s/2000/3000/" --in-force valid.json
expect_changed 1 'note: routes[1]: service "drafts" is taken off route "proofs"' "$newer; 5s/ },/ } ] }/; 6d" --in-force valid.json
expect_changed 2 'missing.json:0: error: -: the file cannot be read' "$newer" --in-force missing.json
expect_changed 2 '"file":"changed.json","key":"version","line":1,"message":"must be' '1s/7/-7/' --format json

# Wrong command lines.
expect 64 'see --help'
expect 64 'see --help' valid.json valid.json
expect 64 'see --help' valid.json --format xml
expect 64 'see --help' valid.json --longest-flow-seconds 0
expect 64 'see --help' valid.json --longest-flow-seconds long
expect 64 'see --help' valid.json --no-such-option
expect 0 'Exit codes' --help
