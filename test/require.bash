# Runs a scenario of bramleylock-measure and fails unless each of the given
# lines is in its output. Tests source this file.
# Usage: require BIN "key=value ..." SCENARIO [ARGUMENTS...]
require() {
  local bin=$1 lines=$2 output line
  shift 2
  output=$("$bin/bramleylock-measure" "$@") || true
  printf '%s\n' "$output"
  for line in $lines; do
    grep -qx -- "$line" <<<"$output" || {
      echo "missing in the output of $1: $line" >&2
      return 1
    }
  done
}
