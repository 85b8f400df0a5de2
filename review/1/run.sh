#!/usr/bin/env bash
# A worker leaves, and says so in its answers, while a machine is cut off from the store.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export INSTANCE="$root/target/burdocklane-instance"
standin="$root/target/review-standin"
if [ ! -x "$INSTANCE" ] || [ ! -x "$standin" ]; then
	echo "build the program as deploy/system.toml says, and run review/build.sh" >&2
	exit 2
fi
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption.
exec "$standin" leaving record.txt
