# Processes on loopback, for the scripts that source this: $run is a directory
# that goes with them, and all of them are stopped at the script's end.
run=$(mktemp -d)
pids=()
declare -A pid_of
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$run"
}
trap stop_all EXIT

launch() { # name, command...
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}

# Waits for the line that a process prints when it listens.
await() { # name
  local tries=0
  until grep -qs '^ready' "$run/$1.out"; do
    tries=$((tries + 1))
    kill -0 "${pid_of[$1]}" 2>/dev/null && [ $tries -lt 400 ] ||
      { echo "$1 did not start:" >&2; cat "$run/$1.log" >&2; return 1; }
    sleep 0.05
  done
}

start() { # name, command...
  launch "$@"
  await "$1"
}

http() { # method, ip:port, path, body, bearer token
  local body=${4:-} token=${5:-}
  exec 9<>"/dev/tcp/${2%:*}/${2#*:}"
  printf '%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$token" "${#body}" "$body" >&9
  sed '1,/^\r$/d' <&9
  exec 9>&-
}

# Waits until a balancer has lists and token keys.
await_serving() { # ip:port of its administration
  local tries=0
  until [[ "$(http GET "$1" /healthz)" == *'"ready":true'* ]]; do
    tries=$((tries + 1))
    [ $tries -lt 400 ] || { echo "$1 does not serve" >&2; return 1; }
    sleep 0.05
  done
}
