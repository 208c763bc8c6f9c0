#!/usr/bin/env bash
# Starts stand-ins and three entry VMs on loopback, sends requests from two teams, kills one entry
# mid-stream, withdraws a key, and prints what became of every request.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "${1:-build}")
work=$(mktemp -d)
pids=()
declare -A entry_pid
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

export LIMPETHAVEN_FLEET_SECRET=demo-fleet-secret-0001
export LIMPETHAVEN_KEYS="north=demo-key-north-0001,south=demo-key-south-0001"
values=$work/values
history=$work/history.jsonl
mkdir -p "$values"
cp -r examples/services "$work/services"
"$bin/limpethaven-publish" "$work/services" --output "$values"
cat > "$values/vms.json" <<JSON
[{"address":"127.0.0.1","data_centre":"east-a","leaving":false},
 {"address":"127.0.0.2","data_centre":"east-b","leaving":false},
 {"address":"127.0.0.3","data_centre":"east-c","leaving":false}]
JSON

start() {
  local name=$1
  shift
  "$@" 2>"$work/$name.log" &
  pids+=("$!")
}
start platform "$bin/limpethaven-standin" platform --port 9100 --directory "$values"
for port in 9101 9102; do
  start "prefill-$port" "$bin/limpethaven-standin" engine --port $port --role prefill --pieces 32
done
for port in 9111 9112; do
  start "decode-$port" "$bin/limpethaven-standin" engine --port $port --role decode --pieces 32
done
start service "$bin/limpethaven-standin" service --port 9121
for n in 1 2 3; do
  start "entry-$n" "$bin/limpethaven-entry" --address 127.0.0.$n --port 8180 --peer-port 8181 \
    --admin-address 127.0.0.$n --admin-port 8182 --data-centre "east-$n" \
    --platform 127.0.0.1:9100 --address-ttl-ms 1000
  entry_pid[$n]=${pids[-1]}
done
for n in 1 2 3; do
  for _ in $(seq 100); do
    curl -fs "127.0.0.$n:8182/v1/health" >/dev/null 2>&1 && break
    sleep 0.1
  done
done
sleep 3  # Shares start empty and fill at the teams' rates.

targets=127.0.0.1:8180,127.0.0.2:8180,127.0.0.3:8180
echo "sending 200 requests from two teams, and 20 transfers twice each"
"$bin/limpethaven-load" run --targets "$targets" --model scribe-1 --requests 200 --rate 25 \
  --seed 7 --prompt-max 1000 --answer-min 40 --answer-max 160 --once-path /s/ledger/transfers \
  --once-calls 20 --services 127.0.0.1:9121 --history "$history" &
load=$!
sleep 4
echo "killing entry 2 mid-stream"
"$bin/limpethaven-load" mark --history "$history" --fault "entry 2 killed"
kill -9 "${entry_pid[2]}"
wait "$load"

echo "withdrawing the key of team south while its streams are open"
"$bin/limpethaven-load" run --targets "$targets" --model scribe-1 --requests 6 --rate 20 --seed 8 \
  --teams south --answer-min 1500 --answer-max 1500 --history "$history" &
load=$!
sleep 1.5
sed -i '/^\[\[key\]\]/{N;N;/team = "south"/d}' "$work/services/scribe/limpethaven.toml"
"$bin/limpethaven-publish" "$work/services" --output "$values"
"$bin/limpethaven-load" mark --history "$history" --withdrawn south
wait "$load"
"$bin/limpethaven-load" run --targets "$targets" --model scribe-1 --requests 4 --rate 20 --seed 9 \
  --teams south --history "$history"

echo
verdict=0
"$bin/limpethaven-load" check "$history" || verdict=1
cuts=$(grep -c '"error":"key_withdrawn"' "$history" || true)
rejected=$(grep -c '"error":"key_rejected"' "$history" || true)
resumed=$(grep -c '"kind":"resumed"' "$history" || true)
[ "$cuts" -eq 6 ] || { echo "expected 6 streams cut by the withdrawal, saw $cuts"; verdict=1; }
[ "$rejected" -eq 4 ] || { echo "expected 4 refusals of the withdrawn key, saw $rejected"; verdict=1; }
[ "$resumed" -ge 1 ] || { echo "expected at least one stream to be resumed"; verdict=1; }
for port in 9101 9102 9111 9112 9121; do
  for key in demo-key-north-0001 demo-key-south-0001; do
    seen=$(curl -s "127.0.0.1:$port/seen?text=$key")
    [ "$seen" = false ] || { echo "endpoint $port saw a key"; verdict=1; }
  done
done
if [ -n "${LIMPETHAVEN_KEEP_LOGS:-}" ]; then cp -r "$work" "$LIMPETHAVEN_KEEP_LOGS"; fi
[ "$verdict" -eq 0 ] && echo "demo passed: nothing lost, nothing doubled" || echo "demo FAILED"
exit "$verdict"
