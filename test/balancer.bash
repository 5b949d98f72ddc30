# Helpers for tests, which source this file. They start a store and a target of
# the service encomendas, and write the settings of a balancer of the
# cooperative example, all on loopback and on ports that the kernel chooses. The
# sourcing script sets bin; this file sets run_dir (through scripts/loopback.bash)
# and example.
example=$(cd "$(dirname "${BASH_SOURCE[0]}")/../examples/cooperative" && pwd)
. "$(dirname "${BASH_SOURCE[0]}")/../scripts/loopback.bash"

# Prints the address that a process gives for a key of its ready line.
ready_address() { # process name, key
  sed -n "s/^ready.* *$2=\([^ ]*\).*/\1/p" "$run_dir/$1.out"
}

# Writes the settings of a balancer to $run_dir/NAME.toml. Further arguments are
# lines of the section [administration]. Set listen to change the address of the
# administration API.
write_settings() { # name, lines...
  local name=$1
  shift
  printf '%064x\n' 7 >"$run_dir/cluster.key"
  printf 'administration-token\n' >"$run_dir/admin.token"
  cat >"$run_dir/$name.toml" <<TOML
[vm]
name = "$name"
failure_domain = "guimaraes"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
administration = "${listen:-127.0.0.1:0}"
[platform]
address = "$(ready_address store store)"
[flows]
drain_seconds = 1
[secrets]
cluster_key_file = "$run_dir/cluster.key"
administration_token_file = "$run_dir/admin.token"
TOML
  [ $# -eq 0 ] || printf '%s\n' '[administration]' "$@" >>"$run_dir/$name.toml"
}

# Starts the store and the target, and writes the lists and the VM list.
start_store_and_target() {
  launch_and_wait store "$bin/bramleylock-standin" store
  launch_and_wait target "$bin/bramleylock-standin" target --name encomendas-1 \
    --service encomendas --slots 2
  local store
  store=$(ready_address store store)
  http_request PUT "$store" '/kv/lists?expected=0' "$(cat "$example/lists.json")" >"$run_dir/put"
  http_request POST "$store" /control/vms '[{"name": "encomendas-1", "role": "target",
    "service": "encomendas", "failure_domain": "guimaraes",
    "address": "'"$(ready_address target target)"'"}]' >"$run_dir/vms"
}
