#!/bin/sh
# Runs a case five times with the disruption and once without it.
for turn in 1 2 3 4 5; do
  "$1/run.sh"; echo "run $turn: exit code $?"
done
TROUBLE=0 "$1/run.sh"; echo "without the disruption: exit code $?"
