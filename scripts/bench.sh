#!/usr/bin/env bash
# Runs the benchmarks, writes their JSON to bench/results, and prints the tables of
# docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p bench/results
timeout 600 "$build/limpethaven_bench" --benchmark_min_time=0.2 \
  --benchmark_out=bench/results/core.json --benchmark_out_format=json
# Removes the host name and the build path, so that the results identify no machine.
sed -i '/"host_name"/d; s|"executable": ".*"|"executable": "limpethaven_bench"|' \
  bench/results/core.json
"$build/limpethaven_capacity" bench/results/core.json
"$build/limpethaven_share_policy" | tee bench/results/share_policy.md
