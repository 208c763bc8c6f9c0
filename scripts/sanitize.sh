#!/usr/bin/env bash
# Builds and runs the tests with the address and undefined-behaviour sanitizers.
# Without optimization the simulations of whole fleets need more than the time limit of 900 s.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g" -DLIMPETHAVEN_SANITIZE=ON \
  -DLIMPETHAVEN_BENCH=OFF >/dev/null
cmake --build build-sanitize --target limpethaven_tests
export UBSAN_OPTIONS=print_stacktrace=1
RC_PARAMS=seed=20261204 timeout 900 build-sanitize/limpethaven_tests
