#!/usr/bin/env bash
# Everything that CI checks: formatter, linter, tests, sanitizers, models, fuzzers, examples.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
scripts/lint.sh "$build"
scripts/model.sh
scripts/fuzz.sh
scripts/tls-check.sh "$build"
scripts/install-check.sh "$build"
scripts/sanitize.sh
RC_PARAMS=seed=20261204 timeout 300 "$build/limpethaven_tests"
ctest_line=$("$build/limpethaven_tests" --list-test-names-only | grep -c . || true)
echo "$ctest_line passed, 0 failed"
