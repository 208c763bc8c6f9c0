#!/usr/bin/env bash
# Runs every check of CI: formatter, linter, models, fuzzers, TLS, installed examples, sanitizers, a
# short fault soak and the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
scripts/lint.sh "$build"
scripts/model.sh
scripts/fuzz.sh
scripts/tls-check.sh "$build"
scripts/install-check.sh "$build"
scripts/sanitize.sh
scripts/soak.sh "$build" 1 12
ctest --test-dir "$build" --output-on-failure --timeout 300
echo "Known failures (KNOWN-RED.txt), which do not fail this run:"
cat KNOWN-RED.txt
