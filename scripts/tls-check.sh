#!/usr/bin/env bash
# Starts an entry that serves callers over TLS, replaces its certificate files, and checks that new
# connections get the new certificate and that an invalid replacement leaves the old one in use.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
export LIMPETHAVEN_FLEET_SECRET=tls-check-fleet-secret-0001

certificate() {
  openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$1" \
    -addext "subjectAltName=IP:127.0.0.8" -keyout "$work/$1.key" -out "$work/$1.pem" 2>/dev/null
}
certificate first
certificate second
cp "$work/first.pem" "$work/live.pem"
cp "$work/first.key" "$work/live.key"
mkdir "$work/values"
"$bin/limpethaven-publish" examples/services --output "$work/values" >/dev/null
echo '[]' > "$work/values/vms.json"
start platform "$bin/limpethaven-standin" platform --port 9300 --directory "$work/values"
start entry "$bin/limpethaven-entry" --address 127.0.0.8 --port 8380 --peer-port 8381 \
  --admin-address 127.0.0.8 --admin-port 8382 --data-centre zone --platform 127.0.0.1:9300 \
  --tls-certificate "$work/live.pem" --tls-key "$work/live.key"
wait_until_ready 127.0.0.8:8382

# accepts NAME: whether a handshake succeeds with certificate NAME as the only trusted one.
accepts() { curl -fs --cacert "$work/$1.pem" https://127.0.0.8:8380/v1/addresses >/dev/null; }
expect() {
  local expected=$1 certificate_name=$2 description=$3
  local actual=no
  if accepts "$certificate_name"; then actual=yes; fi
  [ "$actual" = "$expected" ] ||
    { echo "tls: $description: handshake accepted: expected $expected, got $actual"; exit 1; }
}
expect yes first "the first certificate before the replacement"
expect no second "the second certificate before the replacement"
cp "$work/second.key" "$work/live.key"
cp "$work/second.pem" "$work/live.pem"
touch -d '+1 second' "$work/live.pem"
expect yes second "the second certificate after the replacement"
expect no first "the first certificate after the replacement"
echo broken > "$work/live.pem"
touch -d '+2 seconds' "$work/live.pem"
expect yes second "the second certificate after an invalid replacement"
if curl -fs http://127.0.0.8:8380/v1/addresses >/dev/null; then
  echo "tls: the TLS port answered a plain HTTP request"
  exit 1
fi
echo "tls: 5 handshakes as expected, plain HTTP refused"
