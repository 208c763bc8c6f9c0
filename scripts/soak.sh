#!/usr/bin/env bash
# Fault soak: the real programs as processes, disturbed from outside by a seed, and the promises
# checked from what callers and endpoints saw.
# usage: scripts/soak.sh BUILD SEED [SECONDS]
#   The seed draws what proxies do to connections (delay, silence, one way, reset, refused) and
#   which entry VM is killed, stopped, paused or told to read its settings again, one after another
#   or at once. LIMPETHAVEN_KEEP_LOGS=DIR keeps logs, proxies' schedules and the history.
set -euo pipefail
seed=${2:?usage: scripts/soak.sh BUILD SEED [SECONDS]}
seconds=${3:-20}
. "$(dirname "$0")/lib.sh"

proxy_seed=$seed
# Proxies begin with a calm, and play no new fault when the load is nearly over.
faults_until_ms=$(((seconds + 3) * 1000))
example_fleet
values=$work/values
history=$work/history.jsonl
targets=127.0.0.1:8180,127.0.0.2:8180,127.0.0.3:8180
rate=8
"$bin/limpethaven-load" run --targets "$targets" --model scribe-1 --requests $((seconds * rate)) \
  --rate $rate --seed "$seed" --prompt-max 800 --answer-min 20 --answer-max 200 \
  --once-path /s/ledger/transfers --once-calls $((seconds * 2)) --services 127.0.0.1:9221 \
  --history "$history" > "$work/load.out" 2>&1 &
load=$!
pids+=("$load")

# Numbers from the seed alone, whatever the processes do.
state=$seed
draw() {  # draw BELOW: `drawn` is the next number.
  state=$(((state * 1103515245 + 12345) % 2147483648))
  drawn=$(((state / 65536) % $1))
}
note() {
  "$bin/limpethaven-load" mark --history "$history" --fault "$1"
  echo "$SECONDS s: $1" >> "$work/faults.txt"
}
running() { kill -0 "${entry_pid[$1]}" 2>/dev/null; }

end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
  draw 3; entry=$((drawn + 1))
  draw 6; fault=$drawn
  draw 20; pause="$((drawn / 10)).$((drawn % 10))"
  case $fault in
    0) note "entry $entry killed"
       kill -9 "${entry_pid[$entry]}" 2>/dev/null || true
       wait "${entry_pid[$entry]}" 2>/dev/null || true
       sleep "$pause"; start_entry "$entry" ;;
    1) note "entry $entry stops and starts again"
       kill -TERM "${entry_pid[$entry]}" 2>/dev/null || true
       wait "${entry_pid[$entry]}" 2>/dev/null || true
       start_entry "$entry" ;;
    2) note "entry $entry paused for $pause s"
       kill -STOP "${entry_pid[$entry]}"; sleep "$pause"; kill -CONT "${entry_pid[$entry]}" ;;
    3) note "entry $entry told to read its settings"
       kill -HUP "${entry_pid[$entry]}" ;;
    4) note "all publish again: a change of limits"
       draw 100
       sed -i "s/^rate = [0-9]*/rate = $((20000 + drawn))/" \
         "$work"/services/*/limpethaven.toml
       "$bin/limpethaven-publish" "$work/services" --output "$values" ;;
    5) note "entry $entry killed while entry $((entry % 3 + 1)) is paused"
       kill -STOP "${entry_pid[$((entry % 3 + 1))]}"
       kill -9 "${entry_pid[$entry]}" 2>/dev/null || true
       wait "${entry_pid[$entry]}" 2>/dev/null || true
       sleep 0.5; start_entry "$entry"
       kill -CONT "${entry_pid[$((entry % 3 + 1))]}" ;;
  esac
  draw 12; sleep "$((drawn / 10 + 1)).$((drawn % 10))"
done
wait "$load"

verdict=0
"$bin/limpethaven-load" check "$history" || verdict=1
for n in 1 2 3; do
  running $n || { echo "entry $n has ended by itself"; verdict=1; }
done
for port in 9201 9202 9211 9212 9221; do
  for key in demo-key-north-0001 demo-key-south-0001; do
    seen=$(curl -s "127.0.0.1:$port/seen?text=$key")
    [ "$seen" = false ] || { echo "endpoint $port saw a key"; verdict=1; }
  done
done
if [ -n "${LIMPETHAVEN_KEEP_LOGS:-}" ]; then
  mkdir -p "$LIMPETHAVEN_KEEP_LOGS"
  cp -r "$work" "$LIMPETHAVEN_KEEP_LOGS/seed-$seed"
fi
[ "$verdict" -eq 0 ] && echo "soak passed: seed $seed" || echo "soak FAILED: seed $seed"
exit "$verdict"
