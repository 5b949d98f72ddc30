#!/usr/bin/env bash
# TLS on the administration API: which certificates are accepted, and when plain
# HTTP is allowed.
set -euo pipefail
bin=$1
. "$(dirname "$0")/balancer.bash"
certificate() { # name, address
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
    -days 1 -subj "/CN=$1" -addext "subjectAltName=IP:$2" \
    -keyout "$run/$1.key" -out "$run/$1.pem" 2>"$run/openssl.log" ||
    { cat "$run/openssl.log" >&2; exit 1; }
}
fail() {
  echo "$1" >&2
  [ ! -e "$run/out" ] || cat "$run/out" >&2
  exit 1
}
ctl() { # expected exit code, expected text, arguments...
  local code=0 wanted=$1 text=$2
  shift 2
  "$bin/bramleylockctl" --server "$server" --token-file "$run/admin.token" \
    "$@" >"$run/out" 2>&1 || code=$?
  [ "$code" = "$wanted" ] && [[ $(<"$run/out") == *"$text"* ]] ||
    fail "bramleylockctl $*: exit code $code, expected $wanted and '$text' in the output:"
}
daemon() { # expected exit code, expected text, name of the settings file, arguments...
  local code=0 wanted=$1 text=$2 name=$3
  shift 3
  "$bin/bramleylockd" --config "$run/$name.toml" "$@" >"$run/out" 2>&1 || code=$?
  [ "$code" = "$wanted" ] && [[ $(<"$run/out") == *"$text"* ]] ||
    fail "bramleylockd with $name.toml: exit code $code, expected $wanted and '$text' in the output:"
}
start_platform
certificate entry-1 127.0.0.1
certificate other 127.0.0.1
certificate elsewhere 127.0.0.9
tls=("certificate_file = \"$run/entry-1.pem\"" "key_file = \"$run/entry-1.key\"")

# The issuer is trusted, and the certificate contains the server's address.
write_settings entry-1 "${tls[@]}"
start entry-1 "$bin/bramleylockd" --config "$run/entry-1.toml"
server=$(address entry-1 administration)
ctl 0 '"vm":"entry-1"' --ca "$run/entry-1.pem" --json status
ctl 0 'in_force=1 not_yet=none' --ca "$run/entry-1.pem" lists set plans/clubs/weight 3
ctl 1 'certificate verify failed' --ca "$run/other.pem" lists show
ctl 1 'a server with TLS needs --ca FILE' lists show
ctl 2 'expected certificates in PEM' --ca "$run/admin.token" lists show
printf 'another-token\n' >"$run/admin.token"
ctl 1 'unauthorized' --ca "$run/entry-1.pem" lists show
# A client that stalls in the TLS handshake does not delay other clients.
exec 8<>"/dev/tcp/${server%:*}/${server#*:}"
ctl 1 'unauthorized' --ca "$run/entry-1.pem" lists show
exec 8>&-

# A certificate for another address is rejected.
write_settings entry-2 "certificate_file = \"$run/elsewhere.pem\"" \
  "key_file = \"$run/elsewhere.key\""
start entry-2 "$bin/bramleylockd" --config "$run/entry-2.toml"
server=$(address entry-2 administration)
ctl 1 'certificate verify failed' --ca "$run/elsewhere.pem" lists show

# Plain HTTP: a server without TLS on loopback is accepted, one elsewhere is
# not.
write_settings entry-3
start entry-3 "$bin/bramleylockd" --config "$run/entry-3.toml"
server=$(address entry-3 administration)
ctl 0 '"vm":"entry-3"' --json status
ctl 1 'over TLS' --ca "$run/entry-1.pem" lists show
server=192.0.2.1:7402
ctl 2 'in the clear' lists show

# Settings: plain HTTP is valid only on loopback, unless plain_http allows it
# elsewhere; a certificate requires its key.
listen=192.0.2.1:7402 write_settings far
daemon 3 'listen.administration: found ' far --check
listen=192.0.2.1:7402 write_settings far 'plain_http = "anywhere"'
daemon 0 'settings are valid' far --check
listen=192.0.2.1:7402 write_settings far "${tls[@]}"
daemon 0 'settings are valid' far --check
write_settings half "${tls[0]}"
daemon 3 'administration.certificate_file: found ' half --check

# A missing certificate file, and a key that does not belong to the certificate.
write_settings bad "certificate_file = \"$run/none.pem\"" "${tls[1]}"
daemon 4 'none.pem: expected a certificate chain' bad
write_settings bad "${tls[0]}" "key_file = \"$run/other.key\""
daemon 4 'other.key: expected the key of' bad
