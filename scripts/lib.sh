# Sourced by the scripts that start several processes: a scratch folder, processes that are ended
# with the script, and waiting for health. Sets `bin` and `work`.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=$(realpath "${1:-build}")
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# start NAME COMMAND...: runs a process whose log goes to NAME.log; `started` is its id.
start() {
  local name=$1
  shift
  "$@" 2>"$work/$name.log" &
  started=$!
  pids+=("$started")
}

# healthy ADMIN...: waits until every admin address says that its process is ready.
healthy() {
  local admin
  for admin in "$@"; do
    for _ in $(seq 100); do
      curl -fs "$admin/v1/health" >/dev/null 2>&1 && break
      sleep 0.1
    done
  done
}

# start_entry N: one entry VM; `entry_pid` holds its id.
declare -A entry_pid
start_entry() {
  start "entry-$1" "$bin/limpethaven-entry" --address "127.0.0.$1" --port 8180 --peer-port 8181 \
    --admin-address "127.0.0.$1" --admin-port 8182 --data-centre "east-$1" \
    --platform "127.0.0.1:$platform_port" --address-ttl-ms 1000
  entry_pid[$1]=$started
}

# start_behind PORT NAME COMMAND...: a stand-in at PORT, or, with `proxy_seed` set, behind a proxy
# there that disturbs its connections until `faults_until_ms`.
proxy_seed=
faults_until_ms=0
start_behind() {
  local port=$1 name=$2 own=$1
  shift 2
  if [ -n "$proxy_seed" ]; then
    own=$((port + 100))
    start "proxy-$port" "$bin/limpethaven-standin" proxy --port "$port" --to "127.0.0.1:$own" \
      --seed $((proxy_seed * 100000 + port)) --until-ms "$faults_until_ms" > "$work/proxy-$port.out"
  fi
  start "$name-$port" "$bin/limpethaven-standin" "$@" --port "$own"
}

# example_fleet: the stand-ins and three entry VMs of examples/services; `entry_pid` holds ids.
platform_port=9100
example_fleet() {
  export LIMPETHAVEN_FLEET_SECRET=demo-fleet-secret-0001
  export LIMPETHAVEN_KEYS="north=demo-key-north-0001,south=demo-key-south-0001"
  mkdir -p "$work/values"
  cp -r examples/services "$work/services"
  "$bin/limpethaven-publish" "$work/services" --output "$work/values"
  cat > "$work/values/vms.json" <<JSON
[{"address":"127.0.0.1","data_centre":"east-a","leaving":false},
 {"address":"127.0.0.2","data_centre":"east-b","leaving":false},
 {"address":"127.0.0.3","data_centre":"east-c","leaving":false}]
JSON
  start_behind 9100 platform platform --directory "$work/values"
  local port n
  for port in 9101 9102; do
    start_behind $port prefill engine --role prefill --pieces 32
  done
  for port in 9111 9112; do
    start_behind $port decode engine --role decode --pieces 32
  done
  start_behind 9121 service service
  for n in 1 2 3; do start_entry $n; done
  healthy 127.0.0.1:8182 127.0.0.2:8182 127.0.0.3:8182
  sleep 3  # Shares start empty and fill at the teams' rates.
}
