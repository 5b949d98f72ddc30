# Runs a scenario and requires lines of its output; sourced by the tests.
# Usage: require BIN "key=value ..." SCENARIO [ARGUMENTS...]
require() {
  local bin=$1 lines=$2 output line
  shift 2
  output=$("$bin/bramleylock-measure" "$@") || true
  printf '%s\n' "$output"
  for line in $lines; do
    grep -qx -- "$line" <<<"$output" || {
      echo "missing: $line" >&2
      return 1
    }
  done
}
