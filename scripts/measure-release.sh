#!/usr/bin/env bash
# Measures how long decode engines hold memory after a caller disconnects, and after an entry process
# is killed while it serves a call.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
start_example_fleet >/dev/null
rounds=${LIMPETHAVEN_ROUNDS:-5}

# Prints the number of memory pieces that the decode engines report as in use.
pieces_held() {
  local sum=0 port used
  for port in 9111 9112; do
    used=$(curl -s "127.0.0.1:$port/load" | sed 's/.*"pieces_used":\([0-9]*\).*/\1/')
    sum=$((sum + used))
  done
  echo "$sum"
}
# start_call ADDRESS [STREAM]: starts a call at an entry VM and waits until an engine holds memory for
# it. STREAM is true (the default) or false; `caller` is the caller's process id.
start_call() {
  curl -sN "$1:8180/v1/completions" -H 'Authorization: Bearer demo-key-north-0001' \
    -d '{"model":"scribe-1","prompt":"x","max_tokens":9000,"stream":'"${2:-true}"'}' \
    >/dev/null 2>&1 &
  caller=$!
  for _ in $(seq 100); do
    [ "$(pieces_held)" -gt 0 ] && return
    sleep 0.05
  done
}
# Prints the milliseconds until no decode engine holds memory, or until 400 polls have passed. The
# reports of the stand-ins lag by 200 ms, which is part of every figure.
ms_until_free() {
  local from
  from=$(date +%s%N)
  for _ in $(seq 400); do
    [ "$(pieces_held)" -eq 0 ] && break
    sleep 0.025
  done
  echo $((($(date +%s%N) - from) / 1000000))
}
for round in $(seq "$rounds"); do
  start_call 127.0.0.1
  kill -9 "$caller"
  wait "$caller" 2>/dev/null || true
  echo "caller disconnected, round $round: memory freed after $(ms_until_free) ms"
done
start_call 127.0.0.2
kill -9 "${entry_pid[2]}"
echo "entry 2 killed: memory freed after $(ms_until_free) ms"
start_call 127.0.0.3
kill -9 "${entry_pid[3]}"
echo "entry 3 killed after entry 2: memory freed after $(ms_until_free) ms"
start_call 127.0.0.1 false
kill -9 "$caller"
wait "$caller" 2>/dev/null || true
echo "caller of a call without streaming disconnected: memory freed, or wait ended, after" \
  "$(ms_until_free) ms"
