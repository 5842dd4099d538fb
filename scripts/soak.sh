#!/bin/bash
# Soak test: injects faults into the programs of platform/, run as processes.
# Runs new seeds for some minutes, --jobs of them in parallel, or the one seed
# that --seed names.  Every second new seed evacuates data centres too.  Logs of
# failed seeds are kept in report-soak/.
# --mutant runs one program with a deliberately broken rule
# (test/mutations/soak_NAME.sed) from seed 1 on, until a seed fails or at least
# ten have passed; it succeeds if a seed failed.
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
# Runs $jobs consecutive seeds from $1 on in parallel.
run_seeds()
{
	local first=$1 pids="" pid n evacuate
	for n in $(seq "$first" $((first + jobs - 1))); do
		evacuate=""
		[ $((n % 2)) -ne 0 ] || evacuate=1
		"$soak" --seed "$n" --programs "$programs" \
		    ${evacuate:+--evacuate} \
		    ${mutant_program:+"--$role" "$mutant_program"} &
		pids="$pids $!"
	done
	for pid in $pids; do
		wait "$pid" || failed=$((failed + 1))
	done
}

if [ -n "$mutant" ]; then
	# Only one of the two programs is built as a mutant.
	for role in agent entry; do
		mutant_program=$dir/test/soak_${mutant}_$role
		[ ! -x "$mutant_program" ] || break
	done
	first=1
	while [ "$first" -le 10 ] && [ "$failed" -eq 0 ]; do
		run_seeds "$first"
		first=$((first + jobs))
	done
	echo "mutant $mutant: found by $failed of $((first - 1)) seeds"
	[ "$failed" -gt 0 ]
	exit
fi
first=$((RANDOM * 1000))
end=$((SECONDS + minutes * 60))
while [ "$SECONDS" -lt "$end" ]; do
	run_seeds "$first"
	first=$((first + jobs))
done
echo "$failed failed"
[ "$failed" -eq 0 ]
