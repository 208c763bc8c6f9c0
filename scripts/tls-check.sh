#!/usr/bin/env bash
# Serves callers over TLS, replaces the certificate files while running, and checks that new
# connections get the new certificate, and that a broken replacement leaves the old one in place.
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
healthy 127.0.0.8:8382

accepts() { curl -fs --cacert "$work/$1.pem" https://127.0.0.8:8380/v1/addresses >/dev/null; }
expect() {
  local wanted=$1 name=$2 what=$3
  local got=no
  if accepts "$name"; then got=yes; fi
  [ "$got" = "$wanted" ] || { echo "tls: $what: expected $wanted, got $got"; exit 1; }
}
expect yes first "the first certificate is presented"
expect no second "the second one is not yet"
cp "$work/second.key" "$work/live.key"
cp "$work/second.pem" "$work/live.pem"
touch -d '+1 second' "$work/live.pem"
expect yes second "the second certificate is presented after the files changed"
expect no first "the first one no longer is"
echo broken > "$work/live.pem"
touch -d '+2 seconds' "$work/live.pem"
expect yes second "a broken file leaves the last good certificate in place"
if curl -fs http://127.0.0.8:8380/v1/addresses >/dev/null; then
  echo "tls: plain HTTP was answered on the TLS port"
  exit 1
fi
echo "tls: 5 handshakes as expected, plain HTTP refused"
