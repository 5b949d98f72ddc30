# Helpers to run processes on loopback; other scripts source this file. The
# directory $run_dir holds the output of the processes. When the sourcing script
# ends, the processes are stopped and the directory is removed.
run_dir=$(mktemp -d)
pids=()
declare -A pid_of
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$run_dir"
}
trap stop_all EXIT

# Starts a process in the background.
launch() { # name, command...
  local name=$1
  shift
  "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}

# Waits for the ready line that a process prints once it listens.
wait_until_ready() { # name
  local tries=0
  until grep -qs '^ready' "$run_dir/$1.out"; do
    tries=$((tries + 1))
    kill -0 "${pid_of[$1]}" 2>/dev/null && [ $tries -lt 400 ] ||
      { echo "$1 did not print its ready line; its log:" >&2; cat "$run_dir/$1.log" >&2; return 1; }
    sleep 0.05
  done
}

# Starts a process in the background and waits until it listens.
launch_and_wait() { # name, command...
  launch "$@"
  wait_until_ready "$1"
}

# Sends an HTTP request and prints the body of the response.
http_request() { # method, ip:port, path, body, bearer token
  local body=${4:-} token=${5:-}
  exec 9<>"/dev/tcp/${2%:*}/${2#*:}"
  printf '%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$token" "${#body}" "$body" >&9
  sed '1,/^\r$/d' <&9
  exec 9>&-
}

# Waits until a balancer has the lists and the token keys.
wait_until_serving() { # ip:port of its administration API
  local tries=0
  until [[ "$(http_request GET "$1" /healthz)" == *'"ready":true'* ]]; do
    tries=$((tries + 1))
    [ $tries -lt 400 ] || { echo "the balancer at $1 did not report ready in /healthz" >&2; return 1; }
    sleep 0.05
  done
}
