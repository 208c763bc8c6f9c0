#!/usr/bin/env bash
# Builds the libFuzzer targets and runs each for a fixed number of inputs from a fixed seed.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${LIMPETHAVEN_FUZZ_RUNS:-20000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DLIMPETHAVEN_FUZZ=ON \
  -DLIMPETHAVEN_SANITIZE=ON -DLIMPETHAVEN_BENCH=OFF >/dev/null
targets=()
for source in fuzz/*.cc; do targets+=("fuzz_$(basename "$source" .cc)"); done
cmake --build build-fuzz --target "${targets[@]}"
for target in "${targets[@]}"; do
  corpus=fuzz/corpus/${target#fuzz_}
  work=$(mktemp -d)
  "build-fuzz/$target" -seed=1 -runs="$runs" -max_len=4096 -timeout=10 "$work" "$corpus" \
    2>"$work.log" || { tail -40 "$work.log"; exit 1; }
  echo "$target: $runs inputs, no failure"
  rm -rf "$work" "$work.log"
done
