#!/bin/bash
# Runs the case; TROUBLE=0 runs it without the disruption. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/chestnutroad ] || [ ! -x target/review-2/bed-2 ]; then
  echo "the case could not run: build the deploy file, then review/build-2.sh" | tee "$folder/record.txt" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 2 110 target/review-2/bed-2 resumed target/chestnutroad "$folder/record.txt" &
bed=$!
trap 'kill "$bed" 2>/dev/null' INT TERM
wait "$bed"
code=$?
rm -rf "$TMPDIR"
[ "$code" -le 2 ] || code=2
exit "$code"
