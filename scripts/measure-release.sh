#!/usr/bin/env bash
# Measures how long engines hold memory after a caller hung up, and after entries were killed while
# they served, with separate processes.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
example_fleet >/dev/null
rounds=${LIMPETHAVEN_ROUNDS:-5}

held() {
  local sum=0 port used
  for port in 9111 9112; do
    used=$(curl -s "127.0.0.1:$port/load" | sed 's/.*"pieces_used":\([0-9]*\).*/\1/')
    sum=$((sum + used))
  done
  echo "$sum"
}
# The stand-ins' reports lag by 200 ms, which is part of every figure below.
stream() {
  curl -sN "$1:8180/v1/completions" -H 'Authorization: Bearer demo-key-north-0001' \
    -d '{"model":"scribe-1","prompt":"x","max_tokens":9000,"stream":'"${2:-true}"'}' \
    >/dev/null 2>&1 &
  caller=$!
  for _ in $(seq 100); do
    [ "$(held)" -gt 0 ] && return
    sleep 0.05
  done
}
until_free() {
  local from
  from=$(date +%s%N)
  for _ in $(seq 400); do
    [ "$(held)" -eq 0 ] && break
    sleep 0.025
  done
  echo $((($(date +%s%N) - from) / 1000000))
}
for round in $(seq "$rounds"); do
  stream 127.0.0.1
  kill -9 "$caller"
  wait "$caller" 2>/dev/null || true
  echo "caller gone, round $round: memory free after $(until_free) ms"
done
stream 127.0.0.2
kill -9 "${entry_pid[2]}"
echo "entry 2 killed: memory free after $(until_free) ms"
stream 127.0.0.3
kill -9 "${entry_pid[3]}"
echo "entry 3 killed after it: memory free after $(until_free) ms"
stream 127.0.0.1 false
kill -9 "$caller"
wait "$caller" 2>/dev/null || true
echo "caller of a call without streaming gone: memory free, or given up, after $(until_free) ms"
