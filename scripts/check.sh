#!/bin/bash
# Installs missing packages, builds, and runs every check with fixed seeds.
# The last line is "N passed, N failed"; exits with 0 only if none failed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

passed=0
failed=0
known=0

# Tells whether KNOWN-RED.txt lists test $1 ("test: NAME" lines).  Such a test
# may fail: its failure is printed and not counted.
is_known_failure()
{
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

# Adds the results in the ctest log $1 to the counts.
count_results()
{
	local log=$1 line name
	while IFS= read -r line; do
		case $line in
		*' Passed '*)
			passed=$((passed + 1))
			;;
		*'***'*)
			name=$(sed -E 's/.*: ([A-Za-z0-9_.-]+) \.*.*/\1/' <<<"$line")
			if is_known_failure "$name"; then
				known=$((known + 1))
				echo "known failure: $name"
			else
				failed=$((failed + 1))
				echo "failed: $name"
			fi
			;;
		esac
	done < <(grep -E '^ *[0-9]+/[0-9]+ Test' "$log")
}

# run_check NAME COMMAND...: runs the command and counts it as one check.  If it
# fails, prints the end of its output.
run_check()
{
	local name=$1
	shift
	if "$@" >"$tmp/$name.log" 2>&1; then
		passed=$((passed + 1))
		echo "ok: $name"
	else
		failed=$((failed + 1))
		echo "failed: $name"
		tail -n 60 "$tmp/$name.log"
	fi
}

# run_tests DIR NAME [CTEST OPTIONS...]: runs and counts the tests of the build
# in DIR; NAME names the log.  Counts a failure if no test ran.
run_tests()
{
	local dir=$1 log=$tmp/ctest-$2.log
	shift 2
	ctest --test-dir "$dir" --output-on-failure --no-tests=error "$@" \
	    >"$log" 2>&1 || grep -vE ' Passed ' "$log" | tail -n 200
	count_results "$log"
	if ! grep -qE '^ *[0-9]+/[0-9]+ Test' "$log"; then
		failed=$((failed + 1))
		echo "failed: no tests ran in $dir"
	fi
}

install_packages
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT

run_check format scripts/format.sh
run_check build build build -DMLK_SANITIZE=OFF
run_check build-sanitize build build-sanitize -DMLK_SANITIZE=ON
run_check lint scripts/lint.sh build
run_check models scripts/models.sh
run_tests build-sanitize unit -LE processes -j "$(jobs_count)"
run_tests build processes -L processes
run_check fuzz scripts/fuzz.sh

[ "$known" -eq 0 ] || echo "known failures passed over: $known"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
