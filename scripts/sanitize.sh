#!/usr/bin/env bash
# Builds and runs the tests with the address and undefined-behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DLIMPETHAVEN_SANITIZE=ON \
  -DLIMPETHAVEN_BENCH=OFF >/dev/null
cmake --build build-sanitize --target limpethaven_tests
export UBSAN_OPTIONS=print_stacktrace=1
RC_PARAMS=seed=20261204 timeout 900 build-sanitize/limpethaven_tests
