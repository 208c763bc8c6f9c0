#!/usr/bin/env bash
# Measures one entry process on loopback: the latency that it adds to the first token at 200
# requests/s, then its processor time and memory with about 1,000 open streams.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
export LIMPETHAVEN_FLEET_SECRET=measure-fleet-secret-0001
export LIMPETHAVEN_KEYS="north=measure-key-north-0001"
digest=$(printf measure-key-north-0001 | sha256sum | cut -d' ' -f1)
cat > "$work/limpethaven.toml" <<TOML
[fleet]
share_slots = 1
[[team]]
name = "north"
rate = 100000000
burst = 500000000
[[key]]
sha256 = "$digest"
team = "north"
[[pool]]
name = "prefill"
role = "prefill"
model = "m"
pieces = 1000
endpoints = ["127.0.0.1:9201", "127.0.0.1:9202"]
[[pool]]
name = "decode"
role = "decode"
model = "m"
pieces = 1000
endpoints = ["127.0.0.1:9211", "127.0.0.1:9212", "127.0.0.1:9213", "127.0.0.1:9214"]
[[pool]]
name = "decode-fast"
role = "decode"
model = "fast"
pieces = 1000
endpoints = ["127.0.0.1:9221"]
[[route]]
path = "/v1/completions"
model = "m"
prefill = "prefill"
decode = "decode"
[[route]]
path = "/v1/completions"
model = "fast"
prefill = "prefill"
decode = "decode-fast"
TOML
mkdir "$work/values"
"$bin/limpethaven-publish" "$work/limpethaven.toml" --output "$work/values" >/dev/null
echo '[{"address":"127.0.0.9","data_centre":"zone","leaving":false}]' > "$work/values/vms.json"
start platform "$bin/limpethaven-standin" platform --port 9200 --directory "$work/values"
for port in 9201 9202; do
  start prefill-$port "$bin/limpethaven-standin" engine --port $port --role prefill --pieces 1000
done
# Long decode steps keep many streams open. The latency run needs short steps, so it has a separate
# engine and model.
for port in 9211 9212 9213 9214; do
  start decode-$port "$bin/limpethaven-standin" engine --port $port --role decode --pieces 1000 --step-ms 50
done
start decode-9221 "$bin/limpethaven-standin" engine --port 9221 --role decode --pieces 1000 --step-ms 1
start entry "$bin/limpethaven-entry" --address 127.0.0.9 --port 8280 --peer-port 8281 \
  --admin-address 127.0.0.9 --admin-port 8282 --data-centre zone --platform 127.0.0.1:9200 \
  --max-streams 1500
entry=$started_pid
wait_until_ready 127.0.0.9:8282
sleep 3
# Processor time of the entry process in clock ticks: user and system.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$entry/stat"; }
ticks_per_s=$(getconf CLK_TCK)
idle_ticks_before=$(cpu_ticks)
sleep 5
idle_ticks_after=$(cpu_ticks)
echo "idle: $(echo "scale=3; 100 * ($idle_ticks_after - $idle_ticks_before) / $ticks_per_s / 5" | bc)% of a core, \
$(awk '/VmRSS/ {print $2 / 1000}' /proc/$entry/status) MB resident"
"$bin/limpethaven-load" latency --target 127.0.0.9:8280 --prefill 127.0.0.1:9201 \
  --decode 127.0.0.1:9221 --model fast --requests 4000 --rate 400 || true
"$bin/limpethaven-load" run --targets 127.0.0.9:8280 --model m --requests 1500 --rate 60 --seed 3 \
  --prompt-max 40 --answer-min 400 --answer-max 400 --history "$work/history.jsonl" &
load=$!
sleep 20
load_ticks_before=$(cpu_ticks)
produced_tokens() {
  curl -s 127.0.0.9:8282/metrics | awk '/^limpethaven_tokens_produced_total/ {print $2}'
}
tokens_before=$(produced_tokens)
sleep 4
load_ticks_after=$(cpu_ticks)
tokens_after=$(produced_tokens)
streams=$(curl -s 127.0.0.9:8282/metrics | awk '/^limpethaven_state{item="requests"}/ {print $2}')
echo "under load: $streams streams, $(echo "($tokens_after - $tokens_before) / 4" | bc) tokens/s, \
$(echo "scale=2; ($load_ticks_after - $load_ticks_before) / $ticks_per_s / 4" | bc) cores, \
$(awk '/VmRSS/ {print $2 / 1000}' /proc/$entry/status) MB resident, \
$(ls /proc/$entry/task | wc -l) threads"
wait "$load"
# The entry now hosts two cells with 11 engines; this measures the cost of their polls and timers
# without any request.
sleep 3
hosted_ticks_before=$(cpu_ticks)
sleep 10
hosted_ticks_after=$(cpu_ticks)
echo "idle with 2 cells and 11 engines hosted: \
$(echo "scale=3; 100 * ($hosted_ticks_after - $hosted_ticks_before) / $ticks_per_s / 10" | bc)% of a core"
"$bin/limpethaven-load" check "$work/history.jsonl"
