#!/usr/bin/env bash
# Everything that CI checks: formatter, linter, tests, sanitizers, models, fuzzers, a short
# fault soak, examples.
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
echo "Known faults, passed over:"
cat KNOWN-RED.txt
