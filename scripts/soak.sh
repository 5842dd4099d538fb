#!/bin/bash
# Faults on the programs of the users' platform, as processes: fresh seeds for
# some minutes, or one seed.  Logs of a seed that failed are kept in report-soak.
#
#   scripts/soak.sh [--seed N] [--minutes N] [--jobs N] [--build DIR]
set -euo pipefail
cd "$(dirname "$0")/.."

seed="" minutes=5 jobs=2 dir=build
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--minutes) minutes=$2 ;;
	--jobs) jobs=$2 ;;
	--build) dir=$2 ;;
	*)
		echo "usage: $0 [--seed N] [--minutes N] [--jobs N] [--build DIR]" >&2
		exit 2
		;;
	esac
	shift 2
done
programs=$PWD/$dir/platform
soak=$PWD/$dir/test/monsoonlock-soak
mkdir -p report-soak
cd report-soak

if [ -n "$seed" ]; then
	exec "$soak" --seed "$seed" --programs "$programs"
fi
failed=0
first=$((RANDOM * 1000))
end=$((SECONDS + minutes * 60))
while [ "$SECONDS" -lt "$end" ]; do
	pids=""
	for _ in $(seq "$jobs"); do
		first=$((first + 1))
		"$soak" --seed "$first" --programs "$programs" &
		pids="$pids $!"
	done
	for pid in $pids; do
		wait "$pid" || failed=$((failed + 1))
	done
done
echo "$failed failed"
[ "$failed" -eq 0 ]
