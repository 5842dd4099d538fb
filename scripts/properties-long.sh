#!/bin/sh
# usage: properties-long.sh [CASES [SEED]]
# Runs the property test prop_start with more cases than CI does; CI does not
# run this script.  The number of cases, the seed and the result are written to
# properties-long.log; a run with the same two arguments reproduces a failure.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
cases=${1:-5000}
seed=${2:-$(date +%s)}
build build-sanitize -DMLK_SANITIZE=ON >/dev/null
echo "cases $cases, seed $seed" | tee properties-long.log
status=0
RC_PARAMS="seed=$seed max_success=$cases" build-sanitize/test/prop_start \
    >>properties-long.log 2>&1 || status=$?
# Leaves out the event trace of a failed case, which stays in the log.
grep -v '^ *[0-9.]* [ae][0-9]*:' properties-long.log
exit "$status"
