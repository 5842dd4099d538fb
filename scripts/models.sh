#!/bin/sh
# Runs every Spin model, which must have no errors, and every variant broken by
# a -D switch, which must give a counterexample.  MODEL_JOBS is the number of
# parallel searches; each uses up to 3 GB, most of them far less.
set -u
self=$(cd "$(dirname "$0")" && pwd)/$(basename "$0") || exit 1
model=$(dirname "$self")/../model

# run NAME pass|fail|live|stuck MODEL [-D...]: runs one search, prints one line,
# and creates $tmp/failed if the result is not the expected one.  live and stuck
# check an LTL property under weak fairness, which must hold (live) or have a
# counterexample (stuck).
run() {
	name=$1 expect=$2 file=$3
	shift 3
	dir=$tmp/$name
	if ! mkdir "$dir" || ! cd "$dir"; then
		echo "FAILED $name: no directory"
		touch "$tmp/failed"
		return
	fi
	check=-DSAFETY args=
	# Most searches of broken variants are short; -O1 halves the build time.
	opt=-O2
	case $expect in
	fail)
		opt=-O1
		;;
	live | stuck)
		check=-DNFAIR=4 args="-a -f"
		;;
	esac
	if ! spin -a "$@" "$model/$file" >spin.out 2>&1 ||
	    ! cc -w $opt $check -DNOREDUCE -DMEMLIM=3000 -o pan pan.c \
	    >cc.out 2>&1; then
		echo "FAILED $name: does not build"
		touch "$tmp/failed"
		return
	fi
	# shellcheck disable=SC2086
	timeout 120 ./pan $args -m20000 -w24 >out 2>&1
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out)
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' out)
	secs=$(sed -n 's/pan: elapsed time \([0-9.e+-]*\) seconds.*/\1/p' out)
	verdict=FAILED
	if grep -q -e 'max search depth too small' -e 'out of memory' \
	    -e 'memory limit' -e 'Search not completed' out &&
	    { [ "$expect" = pass ] || [ "$expect" = live ]; }; then
		verdict=FAILED
	elif { [ "$expect" = pass ] || [ "$expect" = live ]; } &&
	    [ "$errors" = 0 ]; then
		verdict=ok
	elif [ "$expect" = stuck ] && grep -q 'acceptance cycle (' out; then
		verdict=ok
	elif [ "$expect" = fail ] && grep -q 'assertion violated' out; then
		verdict=ok
	fi
	[ $verdict = ok ] || touch "$tmp/failed"
	echo "$verdict $name: expected $expect," \
	    "errors ${errors:-none reported}, ${states:-?} states, ${secs:-?} s"
}

# xargs runs this script again for each search.
if [ "${1:-}" = --run ]; then
	tmp=$2
	shift 2
	run "$@"
	exit 0
fi

tmp=$(mktemp -d) || exit 1
trap 'rm -rf "$tmp"' EXIT
trap 'exit 1' HUP INT TERM

# Lines "NAME EXPECT MODEL SWITCHES".  The long searches come first, so that
# they run in parallel with the others.
xargs -P "${MODEL_JOBS:-4}" -L 1 sh "$self" --run "$tmp" <<'LIST' ||
start pass start.pml -DCRASHES=0
start_issued pass start_issued.pml -DCRASHES=0 -DNOT_RUNS=0
leave pass leave.pml -DCRASHES=1
leave_not_run pass leave.pml -DNOT_RUNS=1
answers pass answers.pml -DREGS=2 -DCRASHES=1 -DNOT_RUNS=0
answers_one_agent pass answers.pml -DAGENTS=1 -DINCS=2 -DCRASHES=1 -DNOT_RUNS=1
answers_one_task pass answers.pml -DTASKS=1 -DREGS=3 -DCRASHES=1 -DNOT_RUNS=0
answers_one_epoch pass answers.pml -DEPOCHS=1 -DREGS=3 -DCRASHES=0 -DNOT_RUNS=1
answers_not_run pass answers.pml -DREGS=2 -DCRASHES=0 -DNOT_RUNS=1 -DAGENT_CRASHES=0
hello pass hello.pml -DEPOCHS=2 -DREGS=4 -DINCS=3 -DCRASHES=0 -DAGENT_CRASHES=1
handover pass handover.pml -DEPOCHS=2 -DAGENTS=1
handover_epochs pass handover.pml -DAGENTS=1 -DINCS=1
handover_agents pass handover.pml -DEPOCHS=2 -DREGS=2 -DAGENT_CRASHES=0
handover_leave pass leave.pml -DANSWERS -DHANDOVER -DREGS=2 -DAGENT_CRASHES=0
confirm pass confirm.pml
confirm_issued pass confirm.pml -DISSUED=2
start_issued_later pass start_issued.pml -DISSUED=2 -DCRASHES=0 -DNOT_RUNS=0
start_crash pass start.pml -DEPOCHS=2 -DREGS=2
ephemeral pass ephemeral.pml -DFAULTS=3
evacuation-pages pass evacuation.pml -DPAGES -DCHANGES=2 -DCUTS=0 -DRESTARTS=0
evacuation-restart pass evacuation.pml -DCHANGES=2 -DCUTS=0
evacuation-cut pass evacuation.pml -DCHANGES=2 -DRESTARTS=0
start-no-incarnation fail start.pml -DBUG_NO_INCARNATION
start-no-fence fail start.pml -DBUG_NO_FENCE
start-restart-whole fail start.pml -DBUG_RESTART_WHOLE
start-join-without-epochs fail start.pml -DBUG_JOIN_WITHOUT_EPOCHS
start-claims-unconditional fail start.pml -DBUG_CLAIMS_UNCONDITIONAL
start-complete-without-claims fail start.pml -DBUG_COMPLETE_WITHOUT_CLAIMS
start-claims-dispatched-only fail start.pml -DBUG_CLAIMS_DISPATCHED_ONLY
start-issued-any-epoch fail start_issued.pml -DBUG_ISSUED_ANY_EPOCH
start-issued-earlier-owner fail start_issued.pml -DISSUED=2 -DEPOCHS=2 -DREGS=2 -DCRASHES=0 -DNOT_RUNS=0 -DBUG_ISSUED_EARLIER_OWNER
start-closed-goes-on fail start.pml -DBUG_CLOSED_GOES_ON
start-shut-after-answer fail start.pml -DBUG_SHUT_AFTER_ANSWER
start-check-on-receipt fail start.pml -DBUG_CHECK_ON_RECEIPT
start-not-run-may-start fail start.pml -DBUG_NOT_RUN_MAY_START
start-not-run-on-record fail start.pml -DBUG_NOT_RUN_ON_RECORD
start-not-run-other-incarnation fail start.pml -DEPOCHS=2 -DBUG_NOT_RUN_OTHER_INCARNATION
start-result-without-epoch fail start.pml -DBUG_RESULT_WITHOUT_EPOCH
start-adopt-by-name fail start.pml -DBUG_ADOPT_BY_NAME
start-query-any-incarnation fail start.pml -DBUG_QUERY_ANY_INCARNATION
start-reregister-all-ones fail start.pml -DBUG_REREGISTER_ALL_ONES -DREGS=4 -DINCS=3 -DEPOCHS=2 -DCRASHES=0 -DNOT_RUNS=0
answers-refuse-unaccounted fail answers.pml -DREGS=2 -DCRASHES=0 -DNOT_RUNS=0 -DBUG_REFUSE_UNACCOUNTED
answers-continue-rebuilt fail answers.pml -DREGS=2 -DCRASHES=0 -DNOT_RUNS=0 -DBUG_CONTINUE_REBUILT
answers-restart-whole fail answers.pml -DAGENTS=1 -DCRASHES=0 -DNOT_RUNS=0 -DBUG_RESTART_WHOLE
answers-adopt-by-name fail answers.pml -DAGENTS=1 -DCRASHES=1 -DNOT_RUNS=0 -DBUG_ADOPT_BY_NAME
answers-not-run-may-start fail answers.pml -DAGENTS=1 -DCRASHES=0 -DNOT_RUNS=1 -DBUG_NOT_RUN_MAY_START
answers-not-run-on-record fail answers.pml -DAGENTS=1 -DCRASHES=0 -DNOT_RUNS=1 -DBUG_NOT_RUN_ON_RECORD
answers-not-run-other-incarnation fail answers.pml -DAGENTS=1 -DCRASHES=0 -DNOT_RUNS=1 -DBUG_NOT_RUN_OTHER_INCARNATION
answers-result-without-epoch fail answers.pml -DAGENTS=1 -DCRASHES=0 -DNOT_RUNS=1 -DBUG_RESULT_WITHOUT_EPOCH
hello-restart-keeps fail hello.pml -DEPOCHS=2 -DCRASHES=0 -DBUG_HELLO_RESTART_KEEPS
hello-first-of-row fail hello.pml -DEPOCHS=2 -DCRASHES=0 -DBUG_HELLO_FIRST_OF_ROW
handover-claimed fail handover.pml -DEPOCHS=2 -DAGENTS=1 -DBUG_GIVEN_UP_CLAIMED
handover-reported fail handover.pml -DEPOCHS=2 -DAGENTS=1 -DINCS=1 -DBUG_GIVEN_UP_REPORTED
handover-any-epoch fail handover.pml -DAGENTS=1 -DINCS=1 -DBUG_GIVEN_UP_ANY_EPOCH
handover-rebuilt fail handover.pml -DAGENTS=1 -DINCS=1 -DBUG_GIVE_UP_REBUILT
handover-leave-record-unread fail leave.pml -DANSWERS -DHANDOVER -DTASKS=2 -DAGENTS=1 -DBUG_RECORD_UNREAD
handover-leave-claimed fail leave.pml -DANSWERS -DHANDOVER -DTASKS=2 -DAGENTS=1 -DBUG_GIVEN_UP_CLAIMED
leave-starts fail leave.pml -DBUG_LEAVE_STARTS
leave-record-unread fail leave.pml -DBUG_RECORD_UNREAD
leave-record-of-closed-only fail leave.pml -DBUG_RECORD_OF_CLOSED_ONLY
leave-drops-inherited fail leave.pml -DBUG_LEAVE_DROPS_INHERITED -DNO_REREGISTER -DNO_LOST_JOIN
leave-unconditional fail leave.pml -DBUG_LEAVE_UNCONDITIONAL -DNO_REREGISTER -DNO_LOST_JOIN
leave-all-complete fail leave.pml -DBUG_LEAVE_ALL_COMPLETE -DNO_REREGISTER -DNO_LOST_JOIN
leave-successor-drops-record-at fail leave.pml -DBUG_SUCCESSOR_DROPS_RECORD_AT
leave-successor-not-complete fail leave.pml -DBUG_SUCCESSOR_NOT_COMPLETE
confirm-any-epoch fail confirm.pml -DBUG_CONFIRM_ANY_EPOCH
confirm-closed fail confirm.pml -DBUG_CONFIRM_CLOSED
confirm-leaving fail confirm.pml -DBUG_CONFIRM_LEAVING
confirm-issued-earlier-owner fail confirm.pml -DISSUED=2 -DBUG_ISSUED_EARLIER_OWNER
ephemeral-detached-short fail ephemeral.pml -DBUG_DETACHED_SHORT
ephemeral-renew-unlimited fail ephemeral.pml -DBUG_RENEW_UNLIMITED
ephemeral-age-on-receipt fail ephemeral.pml -DBUG_AGE_ON_RECEIPT
ephemeral-renew-after-pause fail ephemeral.pml -DBUG_RENEW_AFTER_PAUSE
ephemeral-attach-early fail ephemeral.pml -DBUG_ATTACH_EARLY
ephemeral-no-fence fail ephemeral.pml -DBUG_NO_FENCE
ephemeral-place-after-pause fail ephemeral.pml -DBUG_PLACE_AFTER_PAUSE
ephemeral-full-first-lease fail ephemeral.pml -DBUG_FULL_FIRST_LEASE
evacuation-older fail evacuation.pml -DBUG_OLDER
evacuation-mixed-pages fail evacuation.pml -DPAGES -DCUTS=0 -DRESTARTS=0 -DBUG_MIXED_PAGES
evacuation-no-ping fail evacuation.pml -DCHANGES=2 -DRESTARTS=0 -DBUG_NO_PING
evacuation-no-set-on-attach fail evacuation.pml -DCHANGES=1 -DCUTS=0 -DBUG_NO_SET_ON_ATTACH
evacuation-not-shown fail evacuation.pml -DCHANGES=2 -DCUTS=0 -DBUG_NOT_SHOWN
evacuation-agents-ahead fail evacuation.pml -DCHANGES=2 -DCUTS=0 -DBUG_AGENTS_AHEAD
evacuation-confirm-kept fail evacuation.pml -DCHANGES=1 -DCUTS=0 -DBUG_CONFIRM_KEPT
config-lost pass config.pml -DRESTARTS=0 -DOUTAGES=0
config-restart pass config.pml -DLOST=0 -DOUTAGES=0
config-restart-outage pass config.pml -DOPERATORS=1
config-spread live config.pml -DLTL -DOPERATORS=1
config-spread-outage-lasts live config.pml -DLTL -DOPERATORS=1 -DRESTARTS=0 -DOUTAGE_LASTS
config-no-messages stuck config.pml -DLTL -DOPERATORS=1 -DRESTARTS=0 -DOUTAGE_LASTS -DBUG_NO_MESSAGES
config-no-condition fail config.pml -DLOST=0 -DOUTAGES=0 -DBUG_NO_CONDITION
config-apply-lower fail config.pml -DLOST=0 -DOUTAGES=0 -DBUG_APPLY_LOWER
config-second-transaction fail config.pml -DLOST=0 -DOUTAGES=0 -DBUG_SECOND_TRANSACTION
config-serve-first fail config.pml -DLOST=0 -DOUTAGES=0 -DBUG_SERVE_FIRST
config-conflict-by-version fail config.pml -DRESTARTS=0 -DOUTAGES=0 -DBUG_CONFLICT_BY_VERSION
LIST
	touch "$tmp/failed"
[ ! -e "$tmp/failed" ]
