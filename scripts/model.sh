#!/usr/bin/env bash
# Checks the Promela models of tickets and of token transfers exhaustively with SPIN, and checks that
# the transfer model fails when one of its rules is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# run_model NAME [FLAG...]: checks one model and prints its number of errors. The output of the
# checker is left in out.txt.
run_model() {
  local name=$1
  shift
  spin "$@" -a "$root/models/$name.pml" >/dev/null
  gcc -O2 -DSAFETY -o pan pan.c
  ./pan -m100000 >out.txt
  rm -f ./*.trail
  grep -o 'errors: [0-9]*' out.txt
}

failed=0
# expect none|some NAME [FLAG...]: checks one model and sets `failed` if its errors differ.
expect() {
  local expected_errors=$1 name=$2
  shift 2
  local actual_errors
  actual_errors=$(run_model "$name" "$@")
  local states
  states=$(grep -o '[0-9]* states, stored' out.txt)
  echo "model $name $*: $actual_errors, $states"
  if [ "$expected_errors" = none ] && [ "$actual_errors" != "errors: 0" ]; then failed=1; fi
  if [ "$expected_errors" = some ] && [ "$actual_errors" = "errors: 0" ]; then failed=1; fi
}
expect none ticket
expect none transfer
expect some transfer -DNO_HOLD
expect some transfer -DNO_COUNT
exit $failed
