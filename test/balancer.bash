# Starts a store, a target of encomendas and one balancer of the cooperative
# example on loopback, on ports of the kernel's choice; sourced by the tests.
# Sets run, bin, administration and callers.
example=$(cd "$(dirname "${BASH_SOURCE[0]}")/../examples/cooperative" && pwd)
. "$(dirname "${BASH_SOURCE[0]}")/../scripts/loopback.bash"

address() { # name, key: an address of a ready line
  sed -n "s/^ready.* *$2=\([^ ]*\).*/\1/p" "$run/$1.out"
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
