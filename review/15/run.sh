#!/bin/bash
# Runs the case on loopback, for about 100 seconds; exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.  TROUBLE=0 leaves out the
# disruption.  Needs the build of the deploy file and review/build-3.sh.
set -u
cd "$(dirname "$0")" || exit 2

dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
rc=2
# A port may be taken between its choice and its use: try again.
for _ in 1 2; do
	timeout -k 2 104 ../../target/review-3/rig --scenario flap \
	    --trouble "${TROUBLE:-1}" --programs ../../target/platform \
	    --dir "$dir" --record record.txt
	rc=$?
	[ "$rc" -gt 1 ] || break
done
[ "$rc" -le 1 ] || rc=2
exit "$rc"
