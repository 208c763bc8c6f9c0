#!/usr/bin/env bash
# Starts stand-ins and three entry VMs on loopback, sends requests from two teams, kills one entry
# mid-stream, withdraws a key, and prints how many requests ended in which way.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
start_example_fleet
values=$work/values
history=$work/history.jsonl

targets=127.0.0.1:8180,127.0.0.2:8180,127.0.0.3:8180
echo "sending 200 requests from two teams, and 20 ticketed transfers, each to two VMs at once"
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
cut_streams=$(grep -c '"error":"key_withdrawn"' "$history" || true)
rejected=$(grep -c '"error":"key_rejected"' "$history" || true)
resumed=$(grep -c '"kind":"resumed"' "$history" || true)
[ "$cut_streams" -eq 6 ] ||
  { echo "expected 6 streams to end with key_withdrawn, got $cut_streams"; verdict=1; }
[ "$rejected" -eq 4 ] || { echo "expected 4 refusals with key_rejected, got $rejected"; verdict=1; }
[ "$resumed" -ge 1 ] || { echo "expected at least 1 resumed stream, got $resumed"; verdict=1; }
for port in 9101 9102 9111 9112 9121; do
  for key in demo-key-north-0001 demo-key-south-0001; do
    seen=$(curl -s "127.0.0.1:$port/seen?text=$key")
    [ "$seen" = false ] || { echo "endpoint at port $port received an API key"; verdict=1; }
  done
done
if [ -n "${LIMPETHAVEN_KEEP_LOGS:-}" ]; then cp -r "$work" "$LIMPETHAVEN_KEEP_LOGS"; fi
[ "$verdict" -eq 0 ] && echo "demo passed: no request was lost, answered twice or run twice" ||
  echo "demo FAILED"
exit "$verdict"
