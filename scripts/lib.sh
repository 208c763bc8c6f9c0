# Sourced by scripts that start several processes. Sets `bin` (the build directory) and `work` (a
# scratch directory). On exit, the processes are killed and the scratch directory is removed.
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

# start NAME COMMAND...: starts a process with its standard error in $work/NAME.log and sets
# `started_pid` to its process id.
start() {
  local name=$1
  shift
  "$@" 2>"$work/$name.log" &
  started_pid=$!
  pids+=("$started_pid")
}

# wait_until_ready ADMIN...: waits until the health check at each admin address succeeds, with at most
# 100 attempts for each.
wait_until_ready() {
  local admin
  for admin in "$@"; do
    for _ in $(seq 100); do
      curl -fs "$admin/v1/health" >/dev/null 2>&1 && break
      sleep 0.1
    done
  done
}

# start_entry N: starts entry VM N at 127.0.0.N and stores its process id in `entry_pid`.
declare -A entry_pid
start_entry() {
  start "entry-$1" "$bin/limpethaven-entry" --address "127.0.0.$1" --port 8180 --peer-port 8181 \
    --admin-address "127.0.0.$1" --admin-port 8182 --data-centre "east-$1" \
    --platform "127.0.0.1:$platform_port" --address-ttl-ms 1000
  entry_pid[$1]=$started_pid
}

# start_standin PORT NAME COMMAND...: starts a stand-in at PORT. With `proxy_seed` set, a fault proxy
# listens at PORT and the stand-in at PORT + 100; the proxy injects faults until `faults_until_ms`.
proxy_seed=
faults_until_ms=0
start_standin() {
  local port=$1 name=$2 listen_port=$1
  shift 2
  if [ -n "$proxy_seed" ]; then
    listen_port=$((port + 100))
    start "proxy-$port" "$bin/limpethaven-standin" proxy --port "$port" \
      --to "127.0.0.1:$listen_port" --seed $((proxy_seed * 100000 + port)) \
      --until-ms "$faults_until_ms" > "$work/proxy-$port.out"
  fi
  start "$name-$port" "$bin/limpethaven-standin" "$@" --port "$listen_port"
}

# start_example_fleet: starts the stand-ins and three entry VMs with the settings of
# examples/services.
platform_port=9100
start_example_fleet() {
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
  start_standin 9100 platform platform --directory "$work/values"
  local port n
  for port in 9101 9102; do
    start_standin $port prefill engine --role prefill --pieces 32
  done
  for port in 9111 9112; do
    start_standin $port decode engine --role decode --pieces 32
  done
  start_standin 9121 service service
  for n in 1 2 3; do start_entry $n; done
  wait_until_ready 127.0.0.1:8182 127.0.0.2:8182 127.0.0.3:8182
  sleep 3  # Rate-limit shares start empty and fill at the teams' rates.
}
