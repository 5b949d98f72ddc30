# Runs a scenario of bramleylock-measure and fails unless each of the given
# lines is in its output. Tests source this file.
# Usage: require BIN "key=value ..." SCENARIO [ARGUMENTS...]
require() {
  local bin=$1 expected_lines=$2 output expected_line
  shift 2
  output=$("$bin/bramleylock-measure" "$@") || true
  printf '%s\n' "$output"
  for expected_line in $expected_lines; do
    grep -qx -- "$expected_line" <<<"$output" || {
      echo "missing in the output of $1: $expected_line" >&2
      return 1
    }
  done
}
