#!/usr/bin/env bash
# Checks the models of tickets and of token transfers exhaustively, and that the transfer model
# fails when a rule is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

check() {
  local name=$1
  shift
  spin "$@" -a "$root/models/$name.pml" >/dev/null
  gcc -O2 -DSAFETY -o pan pan.c
  ./pan -m100000 >out.txt
  rm -f ./*.trail
  grep -o 'errors: [0-9]*' out.txt
}

failed=0
expect() {
  local wanted=$1 name=$2
  shift 2
  local found
  found=$(check "$name" "$@")
  local states
  states=$(grep -o '[0-9]* states, stored' out.txt)
  echo "model $name $*: $found, $states"
  if [ "$wanted" = none ] && [ "$found" != "errors: 0" ]; then failed=1; fi
  if [ "$wanted" = some ] && [ "$found" = "errors: 0" ]; then failed=1; fi
}
expect none ticket
expect none transfer
expect some transfer -DNO_HOLD
expect some transfer -DNO_COUNT
exit $failed
