#!/usr/bin/env bash
# Plays the case, after the build of the deploy file and review/build-3.sh. It exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays it without
# the trouble.
set -uo pipefail
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x target/burdocklane-instance ] && [ -x target/standin3 ] || { echo "build first: the deploy file, review/build-3.sh"; exit 2; }
timeout --signal=KILL 115 target/standin3 limits "$case/record.txt" >/dev/null
status=$?
tail -n 3 "$case/record.txt"
[ "$status" -le 1 ] || exit 2
exit "$status"
