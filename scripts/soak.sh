#!/bin/bash
# Faults on the programs of the users' platform, as processes: fresh seeds for
# some minutes, or one seed.  Logs of a seed that failed are kept in report-soak.
# With --mutant a rule is broken in one program (test/mutations/soak_NAME.sed),
# and the run succeeds when one of ten seeds finds it.
#
#   scripts/soak.sh [--seed N] [--minutes N] [--jobs N] [--build DIR]
#   scripts/soak.sh --mutant fence|lease|version [--jobs N] [--build DIR]
set -euo pipefail
cd "$(dirname "$0")/.."

seed="" mutant="" minutes=5 jobs=2 dir=build
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--mutant) mutant=$2 ;;
	--minutes) minutes=$2 ;;
	--jobs) jobs=$2 ;;
	--build) dir=$2 ;;
	*)
		echo "usage: $0 [--seed N | --mutant NAME] [--minutes N]" \
		    "[--jobs N] [--build DIR]" >&2
		exit 2
		;;
	esac
	shift 2
done
dir=$(realpath "$dir")
programs=$dir/platform
soak=$dir/test/monsoonlock-soak
mkdir -p report-soak
cd report-soak

if [ -n "$seed" ]; then
	exec "$soak" --seed "$seed" --programs "$programs"
fi

failed=0
# Runs so many seeds from $1 on, side by side.
seeds()
{
	local first=$1 pids="" pid n
	for n in $(seq "$first" $((first + jobs - 1))); do
		"$soak" --seed "$n" --programs "$programs" \
		    ${broken:+"--$kind" "$broken"} &
		pids="$pids $!"
	done
	for pid in $pids; do
		wait "$pid" || failed=$((failed + 1))
	done
}

if [ -n "$mutant" ]; then
	for kind in agent entry; do
		broken=$dir/test/soak_${mutant}_$kind
		[ ! -x "$broken" ] || break
	done
	first=1
	while [ "$first" -le 10 ] && [ "$failed" -eq 0 ]; do
		seeds "$first"
		first=$((first + jobs))
	done
	echo "mutant $mutant: found by $failed of $((first - 1)) seeds"
	[ "$failed" -gt 0 ]
	exit
fi
first=$((RANDOM * 1000))
end=$((SECONDS + minutes * 60))
while [ "$SECONDS" -lt "$end" ]; do
	seeds "$first"
	first=$((first + jobs))
done
echo "$failed failed"
[ "$failed" -eq 0 ]
