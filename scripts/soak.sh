#!/usr/bin/env bash
# Fault soak test: runs the programs as separate processes under load, injects faults from a seed, and
# checks the invariants of the service in the history that callers and endpoints recorded.
# usage: scripts/soak.sh BUILD SEED [SECONDS]
#   The seed determines the connection faults of the proxies (delay, silent, one_way, reset,
#   no_accept) and which entry VM is killed, restarted, paused or sent SIGHUP. Some steps fault two
#   VMs at once.
#   LIMPETHAVEN_KEEP_LOGS=DIR keeps the logs, the fault schedules of the proxies and the history.
set -euo pipefail
seed=${2:?usage: scripts/soak.sh BUILD SEED [SECONDS]}
seconds=${3:-20}
. "$(dirname "$0")/lib.sh"

proxy_seed=$seed
# The proxies inject no fault at first, and begin none later than SECONDS + 3 s after their start, when
# the load is about to end.
faults_until_ms=$(((seconds + 3) * 1000))
start_example_fleet
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

# A generator that depends on the seed alone, so that timing does not change the sequence of faults.
random_state=$seed
# draw_below BELOW: sets `random_value` to a number from 0 to BELOW - 1.
draw_below() {
  random_state=$(((random_state * 1103515245 + 12345) % 2147483648))
  random_value=$(((random_state / 65536) % $1))
}
# record_fault TEXT: adds a fault to the history and to faults.txt.
record_fault() {
  "$bin/limpethaven-load" mark --history "$history" --fault "$1"
  echo "$SECONDS s: $1" >> "$work/faults.txt"
}
entry_is_running() { kill -0 "${entry_pid[$1]}" 2>/dev/null; }

end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
  draw_below 3; entry=$((random_value + 1))
  draw_below 6; fault=$random_value
  draw_below 20; pause="$((random_value / 10)).$((random_value % 10))"
  case $fault in
    0) record_fault "entry $entry killed"
       kill -9 "${entry_pid[$entry]}" 2>/dev/null || true
       wait "${entry_pid[$entry]}" 2>/dev/null || true
       sleep "$pause"; start_entry "$entry" ;;
    1) record_fault "entry $entry stops and starts again"
       kill -TERM "${entry_pid[$entry]}" 2>/dev/null || true
       # Supervisors may repeat the signal.
       sleep 0.2; kill -TERM "${entry_pid[$entry]}" 2>/dev/null || true
       wait "${entry_pid[$entry]}" 2>/dev/null || true
       start_entry "$entry" ;;
    2) record_fault "entry $entry paused for $pause s"
       kill -STOP "${entry_pid[$entry]}"; sleep "$pause"; kill -CONT "${entry_pid[$entry]}" ;;
    3) record_fault "entry $entry told to read its settings"
       kill -HUP "${entry_pid[$entry]}" ;;
    4) record_fault "all publish again: a change of limits"
       draw_below 100
       sed -i "s/^rate = [0-9]*/rate = $((20000 + random_value))/" \
         "$work"/services/*/limpethaven.toml
       "$bin/limpethaven-publish" "$work/services" --output "$values" ;;
    5) record_fault "entry $entry killed while entry $((entry % 3 + 1)) is paused"
       kill -STOP "${entry_pid[$((entry % 3 + 1))]}"
       kill -9 "${entry_pid[$entry]}" 2>/dev/null || true
       wait "${entry_pid[$entry]}" 2>/dev/null || true
       sleep 0.5; start_entry "$entry"
       kill -CONT "${entry_pid[$((entry % 3 + 1))]}" ;;
  esac
  draw_below 12; sleep "$((random_value / 10 + 1)).$((random_value % 10))"
done
wait "$load"

verdict=0
"$bin/limpethaven-load" check "$history" || verdict=1
for n in 1 2 3; do
  entry_is_running $n || { echo "entry $n is not running at the end of the soak"; verdict=1; }
done
for port in 9201 9202 9211 9212 9221; do
  for key in demo-key-north-0001 demo-key-south-0001; do
    seen=$(curl -s "127.0.0.1:$port/seen?text=$key")
    [ "$seen" = false ] || { echo "endpoint at port $port received an API key"; verdict=1; }
  done
done
if [ -n "${LIMPETHAVEN_KEEP_LOGS:-}" ]; then
  mkdir -p "$LIMPETHAVEN_KEEP_LOGS"
  cp -r "$work" "$LIMPETHAVEN_KEEP_LOGS/seed-$seed"
fi
[ "$verdict" -eq 0 ] && echo "soak passed: seed $seed" || echo "soak FAILED: seed $seed"
exit "$verdict"
