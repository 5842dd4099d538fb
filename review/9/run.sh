#!/bin/sh
# Runs the case on the real clock; exits with 1 if the rule was broken, 0 if it
# held, 2 if it could not run.  TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-2/standin leave-late "$folder" review/9/record.txt &
pid=$!
trap 'kill $pid 2>/dev/null; rm -rf "$folder"; exit 2' INT TERM HUP
wait $pid
status=$?
rm -rf "$folder"
[ $status -le 2 ] || status=2
exit $status
