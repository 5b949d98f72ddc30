# Starts a store, a target of encomendas and one balancer of the cooperative
# example on loopback, on ports of the kernel's choice; sourced by the tests.
# Sets run, bin, administration and callers.
example=$(cd "$(dirname "${BASH_SOURCE[0]}")/../examples/cooperative" && pwd)
run=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$run"
}
trap stop_all EXIT

start() { # name, command...
  local name=$1 tries=0
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=($!)
  until grep -qs '^ready' "$run/$name.out"; do
    tries=$((tries + 1))
    kill -0 "${pids[-1]}" 2>/dev/null && [ $tries -lt 400 ] ||
      { echo "$name did not start:" >&2; cat "$run/$name.log" >&2; return 1; }
    sleep 0.05
  done
}

address() { # name, key: an address of a ready line
  sed -n "s/^ready.* *$2=\([^ ]*\).*/\1/p" "$run/$1.out"
}

http() { # method, ip:port, path, body, bearer token
  local body=${4:-} token=${5:-}
  exec 9<>"/dev/tcp/${2%:*}/${2#*:}"
  printf '%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$token" "${#body}" "$body" >&9
  sed '1,/^\r$/d' <&9
  exec 9>&-
}

# Writes the settings of a balancer to $run/NAME.toml, with more lines for the
# section [administration].
write_settings() { # name, lines...
  local name=$1
  shift
  printf '%064x\n' 7 >"$run/cluster.key"
  printf 'administration-token\n' >"$run/admin.token"
  cat >"$run/$name.toml" <<TOML
[vm]
name = "$name"
failure_domain = "guimaraes"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
administration = "${listen:-127.0.0.1:0}"
[platform]
address = "$(address store store)"
[flows]
drain_seconds = 1
[secrets]
cluster_key_file = "$run/cluster.key"
administration_token_file = "$run/admin.token"
TOML
  [ $# -eq 0 ] || printf '%s\n' '[administration]' "$@" >>"$run/$name.toml"
}

start_platform() {
  start store "$bin/bramleylock-standin" store
  start target "$bin/bramleylock-standin" target --name encomendas-1 \
    --service encomendas --slots 2
  local store
  store=$(address store store)
  http PUT "$store" '/kv/lists?expected=0' "$(cat "$example/lists.json")" >"$run/put"
  http POST "$store" /control/vms '[{"name": "encomendas-1", "role": "target",
    "service": "encomendas", "failure_domain": "guimaraes",
    "address": "'"$(address target target)"'"}]' >"$run/vms"
}

# Waits until the balancer has lists and token keys.
wait_ready() { # name
  local tries=0
  until grep -q '"ready":true' <<<"$(http GET "$(address "$1" administration)" /healthz)"; do
    tries=$((tries + 1))
    [ $tries -lt 200 ] || { echo "$1 does not get ready" >&2; return 1; }
    sleep 0.05
  done
}
