#!/usr/bin/env bash
# TLS on the administration API: which certificates are accepted, and when plain
# HTTP is allowed.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
certificate() { # name, address
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -days 1 -subj "/CN=$1" -addext "subjectAltName=IP:$2" \
    -keyout "$run_dir/$1.key" -out "$run_dir/$1.pem" 2>"$run_dir/openssl.log" ||
    { cat "$run_dir/openssl.log" >&2; exit 1; }
}
fail() {
  echo "$1" >&2
  [ ! -e "$run_dir/out" ] || cat "$run_dir/out" >&2
  exit 1
}
expect_ctl() { # expected exit code, expected text, arguments...
  local code=0 expected_code=$1 expected_text=$2
  shift 2
  "$bin/bramleylockctl" --server "$server" --token-file "$run_dir/admin.token" \
    "$@" >"$run_dir/out" 2>&1 || code=$?
  [ "$code" = "$expected_code" ] && [[ $(<"$run_dir/out") == *"$expected_text"* ]] ||
    fail "bramleylockctl $*: exit code $code, expected $expected_code and '$expected_text' in the output:"
}
expect_daemon() { # expected exit code, expected text, name of the settings file, arguments...
  local code=0 expected_code=$1 expected_text=$2 name=$3
  shift 3
  "$bin/bramleylockd" --config "$run_dir/$name.toml" "$@" >"$run_dir/out" 2>&1 || code=$?
  [ "$code" = "$expected_code" ] && [[ $(<"$run_dir/out") == *"$expected_text"* ]] ||
    fail "bramleylockd with $name.toml: exit code $code, expected $expected_code and '$expected_text' in the output:"
}
start_store_and_target
certificate entry-1 127.0.0.1
certificate other 127.0.0.1
certificate elsewhere 127.0.0.9
tls=("certificate_file = \"$run_dir/entry-1.pem\"" "key_file = \"$run_dir/entry-1.key\"")

# The issuer is trusted, and the certificate contains the server's address.
write_settings entry-1 "${tls[@]}"
launch_and_wait entry-1 "$bin/bramleylockd" --config "$run_dir/entry-1.toml"
server=$(ready_address entry-1 administration)
expect_ctl 0 '"vm":"entry-1"' --ca "$run_dir/entry-1.pem" --json status
expect_ctl 0 'in_force=1 not_yet=none' --ca "$run_dir/entry-1.pem" lists set plans/clubs/weight 3
expect_ctl 1 'certificate verify failed' --ca "$run_dir/other.pem" lists show
expect_ctl 1 'a server with TLS needs --ca FILE' lists show
expect_ctl 2 'expected certificates in PEM' --ca "$run_dir/admin.token" lists show
printf 'another-token\n' >"$run_dir/admin.token"
expect_ctl 1 'unauthorized' --ca "$run_dir/entry-1.pem" lists show
# A client that stalls in the TLS handshake does not delay other clients.
exec 8<>"/dev/tcp/${server%:*}/${server#*:}"
expect_ctl 1 'unauthorized' --ca "$run_dir/entry-1.pem" lists show
exec 8>&-

# A certificate for another address is rejected.
write_settings entry-2 "certificate_file = \"$run_dir/elsewhere.pem\"" \
  "key_file = \"$run_dir/elsewhere.key\""
launch_and_wait entry-2 "$bin/bramleylockd" --config "$run_dir/entry-2.toml"
server=$(ready_address entry-2 administration)
expect_ctl 1 'certificate verify failed' --ca "$run_dir/elsewhere.pem" lists show

# Plain HTTP: a server without TLS on loopback is accepted, one elsewhere is
# not.
write_settings entry-3
launch_and_wait entry-3 "$bin/bramleylockd" --config "$run_dir/entry-3.toml"
server=$(ready_address entry-3 administration)
expect_ctl 0 '"vm":"entry-3"' --json status
expect_ctl 1 'over TLS' --ca "$run_dir/entry-1.pem" lists show
server=192.0.2.1:7402
expect_ctl 2 'in the clear' lists show

# Settings: plain HTTP is valid only on loopback, unless plain_http allows it
# elsewhere; a certificate requires its key.
listen=192.0.2.1:7402 write_settings far
expect_daemon 3 'listen.administration: found ' far --check
listen=192.0.2.1:7402 write_settings far 'plain_http = "anywhere"'
expect_daemon 0 'settings are valid' far --check
listen=192.0.2.1:7402 write_settings far "${tls[@]}"
expect_daemon 0 'settings are valid' far --check
write_settings half "${tls[0]}"
expect_daemon 3 'administration.certificate_file: found ' half --check

# A missing certificate file, and a key that does not belong to the certificate.
write_settings bad "certificate_file = \"$run_dir/none.pem\"" "${tls[1]}"
expect_daemon 4 'none.pem: expected a certificate chain' bad
write_settings bad "${tls[0]}" "key_file = \"$run_dir/other.key\""
expect_daemon 4 'other.key: expected the key of' bad
