/*
 * Ephemeral jobs: at most one run of a task at a time, without a store and
 * without synchronised clocks (docs/decisions/platform.md).
 *
 * There are one task, a caller that sends the job again, two entries, and two
 * agents with one worker each.  Time advances in steps of 200 ms; a process
 * that is not dead, paused or cut off does all that is due before the next
 * step.  The time bounds of the code are rounded to the unsafe side.  Up to
 * FAULTS faults happen at any moment: an entry or agent dies or is paused, a
 * link is cut or reset, a worker does not answer a start and executes it later,
 * or does not answer a stop.
 *
 * Checked by an assertion: the two workers never execute the task at once.
 *
 * ENTRY_LEASE, after which an agent stops the runs of a silent entry, only
 * frees resources early.  Safety depends on RENEW_LIMIT.
 *
 * Variants that must fail: BUG_DETACHED_SHORT, BUG_RENEW_UNLIMITED,
 * BUG_AGE_ON_RECEIPT, BUG_RENEW_AFTER_PAUSE, BUG_ATTACH_EARLY, BUG_NO_FENCE,
 * BUG_PLACE_AFTER_PAUSE, BUG_FULL_FIRST_LEASE.
 */
#ifndef FAULTS
#define FAULTS 2
#endif

#define RESEND_STEPS 6 /* least time until a caller sends again, 1,300 ms */
#define LEASE 6 /* of runs at a worker, 1,020 ms of real time */
/* A renewed lease ends at most 950 ms after the entry's last message. */
#define RENEW_LIMIT 5
#define ENTRY_LEASE 4 /* 800 ms; a silent entry's runs are stopped then */
#define SILENCE_MAX 3 /* steps without a message; the entry closes the link */
#ifdef BUG_DETACHED_SHORT
#define DETACHED_STEPS 3
#else
#define DETACHED_STEPS 6 /* wait of 1,250 ms until the task is queued again */
#endif
#define RUN_AGE_MAX 2 /* an older RUN is refused */
#define DEADLINE 7 /* of the caller */
#define NONE 2 /* no entry, or no agent */

mtype = { J_NONE, J_QUEUED, J_SENT, J_DETACHED };
mtype = { C_WAITING, C_RESENDS, C_DONE };
mtype = { R_NONE, R_STARTING, R_ACTIVE, R_STOPPING };

/* The caller: the entry where it waits, or the steps until it sends again. */
mtype caller = C_WAITING;
byte caller_entry = 0;
byte resend_in;
byte deadline = DEADLINE;

/* Entries. */
bool dead[2], paused[2];
bool caller_left[2]; /* the caller disconnected while it was paused */
mtype job[2];
byte sent_to[2] = NONE; /* agent with the task */
byte detached[2]; /* steps until the task is queued again */
byte age[2]; /* steps since the job's caller sent it */
byte silence[2]; /* steps without a message from the agent with the task */

/* Agents and links; a paused agent reads nothing from its links. */
bool agent_dead[2], agent_paused[2];
#define LINK(e, a) (e * 2 + a)
bool up[4]; /* neither end has closed it or noticed that it is cut */
bool cut[4]; /* no message passes any more */

/* RUN in transit from an entry to its agent, and its age in steps. */
bool run_msg[2];
byte run_age[2];

/*
 * A DROP in transit to an agent, which reads it once the agent is not paused.
 * Messages sent later on the link arrive after the DROP, so a cut loses both
 * the DROP and them, or neither.
 */
bool drop_msg[2];

/* The one run of an agent, and its worker. */
mtype run_state[2];
byte run_entry[2] = NONE; /* the entry that sent the run */
byte contact_age[2]; /* steps since the entry sent the last message received */
bool executing[2]; /* the worker executes the task */
byte lease[2]; /* steps until the lease expires and the worker stops the run */
bool unresponsive[2]; /* the worker answers no stop, reports no end */
bool delayed_start[2]; /* the worker may still execute a start */
byte delayed_lease[2]; /* steps until the lease of that start expires */

byte faults;

inline increment(x, max) { x = (x < max -> x + 1 : max) }
inline decrement(x) { x = (x > 0 -> x - 1 : 0) }

#define ENTRY_RUNS(e) (!dead[e] && !paused[e])
#define AGENT_RUNS(a) (!agent_dead[a] && !agent_paused[a])
#define LINK_OK(e, a) (up[LINK(e, a)] && !cut[LINK(e, a)])

/* The entry has lost the link: its run there may continue for some time. */
inline entry_link_closed(e, a) {
	if
	:: sent_to[e] == a && job[e] == J_SENT ->
		job[e] = J_DETACHED;
		detached[e] = DETACHED_STEPS;
		silence[e] = 0;
		run_age[e] = 0;
		run_msg[e] = false
	:: else
	fi
}

inline clear_job(e) {
	job[e] = J_NONE;
	sent_to[e] = NONE;
	run_msg[e] = false;
	run_age[e] = 0;
	silence[e] = 0;
	detached[e] = 0;
	age[e] = 0
}

/* The entry does not want the run any more: the agent begins to stop it. */
inline agent_stop_run(a) {
	if
	:: run_state[a] == R_ACTIVE || run_state[a] == R_STARTING ->
		run_state[a] = R_STOPPING
	:: else
	fi
}

inline close_link(e, a) {
	up[LINK(e, a)] = false;
	entry_link_closed(e, a);
	if
	:: run_entry[a] == e && AGENT_RUNS(a) && !cut[LINK(e, a)] ->
		agent_stop_run(a)
	:: else
	fi
}

inline worker_start(a) {
	executing[a] = true;
	assert(!(executing[0] && executing[1]))
}

inline worker_end(a) {
	executing[a] = false;
	lease[a] = 0
}

/* Reports that the run is over or never began; the entry may retry. */
inline agent_run_ended(a) {
	if
	:: run_entry[a] != NONE && LINK_OK(run_entry[a], a) &&
	   ENTRY_RUNS(run_entry[a]) && sent_to[run_entry[a]] == a &&
	   job[run_entry[a]] == J_SENT ->
		job[run_entry[a]] = J_QUEUED;
		sent_to[run_entry[a]] = NONE
	:: else
	fi;
	run_state[a] = R_NONE;
	contact_age[a] = 0;
	drop_msg[a] = false;
	run_entry[a] = NONE
}

/* Abandons a job and sends DROP to the agent if the link is up. */
inline drop_job(e) {
	if
	:: sent_to[e] != NONE && LINK_OK(e, sent_to[e]) &&
	   run_entry[sent_to[e]] == e -> drop_msg[sent_to[e]] = true
	:: else
	fi;
	clear_job(e)
}

inline caller_disconnects() {
	if
	:: ENTRY_RUNS(caller_entry) && job[caller_entry] != J_NONE ->
		drop_job(caller_entry)
	:: paused[caller_entry] && job[caller_entry] != J_NONE ->
		caller_left[caller_entry] = true
	:: else
	fi;
	caller = C_RESENDS;
	deadline = 0;
	resend_in = RESEND_STEPS
}

/* One fault, at any moment. */
inline fault() {
	faults < FAULTS -> faults++;
	if
	:: !dead[0] -> dead[0] = true; paused[0] = false; clear_job(0);
		if
		:: caller == C_WAITING && caller_entry == 0 ->
			caller_disconnects()
		:: else
		fi
	:: ENTRY_RUNS(0) -> paused[0] = true;
		/* The caller may time out while its entry is paused. */
		if
		:: caller == C_WAITING && caller_entry == 0 ->
			caller_disconnects()
		:: true
		fi
	:: !agent_dead[0] -> agent_dead[0] = true; agent_paused[0] = false;
		run_state[0] = R_NONE; run_entry[0] = NONE; contact_age[0] = 0;
		drop_msg[0] = false;
		if
		:: up[LINK(0, 0)] && !cut[LINK(0, 0)] && ENTRY_RUNS(0) ->
			entry_link_closed(0, 0)
		:: else
		fi;
		up[LINK(0, 0)] = false
	:: AGENT_RUNS(0) -> agent_paused[0] = true
	:: !cut[LINK(0, 0)] -> cut[LINK(0, 0)] = true
	:: LINK_OK(0, 0) && ENTRY_RUNS(0) -> close_link(0, 0)
	:: !unresponsive[0] -> unresponsive[0] = true
	:: true
	fi
}

inline recover() {
	if
	:: paused[0] -> paused[0] = false;
#ifndef BUG_PLACE_AFTER_PAUSE
		if
		:: caller_left[0] -> drop_job(0)
		:: else
		fi;
#endif
		caller_left[0] = false
	:: agent_paused[0] -> agent_paused[0] = false;
#ifdef BUG_AGE_ON_RECEIPT
		contact_age[0] = 0;
#endif
#ifdef BUG_RENEW_AFTER_PAUSE
		if
		:: executing[0] -> lease[0] = LEASE
		:: else
		fi;
#endif
		skip
	:: agent_dead[0] -> agent_dead[0] = false
	fi
}

#ifdef BUG_ATTACH_EARLY
#define NO_RUN_LEFT(e, a) true
#else
#define NO_RUN_LEFT(e, a) (!(run_state[a] != R_NONE && run_entry[a] == e) && \
	(run_state[a] != R_NONE || (!executing[a] && !delayed_start[a])))
#endif

/*
 * Reconnects.  The agent attaches only once no run of the entry is left, so the
 * entry can queue its detached task again.
 */
inline attach(e, a) {
	ENTRY_RUNS(e) && AGENT_RUNS(a) && !up[LINK(e, a)] && !cut[LINK(e, a)] &&
	    NO_RUN_LEFT(e, a) -> up[LINK(e, a)] = true;
	if
	:: sent_to[e] == a && job[e] == J_DETACHED ->
		job[e] = J_QUEUED;
		sent_to[e] = NONE
	:: else
	fi
}

inline dispatch(e, a) {
	ENTRY_RUNS(e) && job[e] == J_QUEUED && up[LINK(e, a)] ->
	job[e] = J_SENT;
	sent_to[e] = a;
	run_msg[e] = true;
	run_age[e] = 0;
	silence[e] = 0
}

#ifdef BUG_FULL_FIRST_LEASE
#define FIRST_LEASE(a) LEASE
#else
#define FIRST_LEASE(a) (RENEW_LIMIT - contact_age[a])
#endif

inline deliver_run(e, a) {
	run_msg[e] && sent_to[e] == a && LINK_OK(e, a) && AGENT_RUNS(a) &&
	    run_state[a] == R_NONE -> run_msg[e] = false;
	run_entry[a] = e;
	contact_age[a] = run_age[e];
	run_age[e] = 0;
	if
	:: contact_age[a] > RUN_AGE_MAX || executing[a] || delayed_start[a] ->
		agent_run_ended(a)
	:: else ->
		/* The start is executed now, or later and without an answer. */
		if
		:: run_state[a] = R_ACTIVE; worker_start(a);
			lease[a] = FIRST_LEASE(a)
		:: faults < FAULTS -> faults++; run_state[a] = R_STARTING;
			delayed_start[a] = true;
			delayed_lease[a] = FIRST_LEASE(a)
		fi
	fi
}

/* The worker drops a start that has a lower fence and is not yet executed. */
inline raise_fence(a) {
#ifndef BUG_NO_FENCE
	delayed_start[a] = false;
#endif
	skip
}

/* A start got no answer: a higher fence shows whether it was executed. */
inline resolve_start(a) {
	AGENT_RUNS(a) && run_state[a] == R_STARTING && !unresponsive[a] ->
	if
	:: executing[a] -> run_state[a] = R_ACTIVE
	:: else ->
		raise_fence(a);
		agent_run_ended(a)
	fi
}

inline execute_delayed_start(a) {
	delayed_start[a] && delayed_lease[a] > 0 -> delayed_start[a] = false;
	worker_start(a);
	lease[a] = (delayed_lease[a] < LEASE -> delayed_lease[a] : LEASE)
}

inline deliver_drop(a) {
	drop_msg[a] && AGENT_RUNS(a) ->
	drop_msg[a] = false;
	agent_stop_run(a)
}

inline stop_run(a) {
	AGENT_RUNS(a) && run_state[a] == R_STOPPING && !unresponsive[a] ->
	worker_end(a);
	raise_fence(a);
	agent_run_ended(a)
}

/* A restarted agent stops the run or the start of its previous process. */
inline stop_orphan(a) {
	AGENT_RUNS(a) && run_state[a] == R_NONE &&
	    (executing[a] || delayed_start[a]) && !unresponsive[a] ->
	worker_end(a);
	delayed_start[a] = false
}

inline finish(a) {
	executing[a] && AGENT_RUNS(a) && run_state[a] == R_ACTIVE &&
	    !unresponsive[a] ->
	worker_end(a);
	if
	:: LINK_OK(run_entry[a], a) && ENTRY_RUNS(run_entry[a]) &&
	   sent_to[run_entry[a]] == a && job[run_entry[a]] == J_SENT ->
		clear_job(run_entry[a]);
		if
		:: caller == C_WAITING && caller_entry == run_entry[a] ->
			caller = C_DONE
		:: else
		fi
	:: else
	fi;
	run_state[a] = R_NONE;
	contact_age[a] = 0;
	drop_msg[a] = false;
	run_entry[a] = NONE
}

#ifdef BUG_AGE_ON_RECEIPT
#define AGE_FROM_SEND false
#else
#define AGE_FROM_SEND true
#endif

/* Work that is due before time advances. */
#define DROP_DUE(a) (AGENT_RUNS(a) && drop_msg[a])
#define AGENT_DUE(a) (AGENT_RUNS(a) && !unresponsive[a] && \
	(run_state[a] == R_STOPPING || (run_state[a] == R_NONE && \
	(executing[a] || delayed_start[a]))))
/* Messages of an entry arrive at once unless a fault prevents it. */
inline contact_step(a) {
	if
	:: run_entry[a] == NONE -> contact_age[a] = 0
	:: run_entry[a] != NONE && LINK_OK(run_entry[a], a) &&
	   ENTRY_RUNS(run_entry[a]) && (AGENT_RUNS(a) || AGE_FROM_SEND) ->
		contact_age[a] = 0
	:: else -> increment(contact_age[a], RENEW_LIMIT)
	fi
}

/* The agent closes the link of an entry that is silent for too long. */
inline check_entry_lease(a) {
	if
	:: AGENT_RUNS(a) && run_entry[a] != NONE &&
	   (contact_age[a] >= ENTRY_LEASE || !up[LINK(run_entry[a], a)]) ->
		up[LINK(run_entry[a], a)] = false;
		agent_stop_run(a)
	:: else
	fi
}

#ifdef BUG_RENEW_UNLIMITED
#define RENEWAL(a) LEASE
#else
#define RENEWAL(a) (RENEW_LIMIT - contact_age[a])
#endif

/* The agent renews the lease, at most until RENEW_LIMIT. */
inline agent_step(a) {
	if
	:: executing[a] -> decrement(lease[a]);
		if
		:: AGENT_RUNS(a) && run_state[a] == R_ACTIVE &&
		   run_entry[a] != NONE && lease[a] < RENEWAL(a) ->
			lease[a] = RENEWAL(a)
		:: else
		fi;
		if
		:: lease[a] == 0 -> worker_end(a)
		:: else
		fi
	:: else
	fi;
	if
	:: delayed_start[a] -> decrement(delayed_lease[a]);
		if
		:: delayed_lease[a] == 0 -> delayed_start[a] = false
		:: else
		fi
	:: else
	fi;
	if
	:: AGENT_RUNS(a) && (run_state[a] == R_ACTIVE ||
	   run_state[a] == R_STARTING || run_state[a] == R_STOPPING) &&
	   !executing[a] && !delayed_start[a] ->
		agent_run_ended(a)
	:: else
	fi;
	check_entry_lease(a)
}

inline entry_step(e) {
	if
	:: job[e] != J_NONE -> increment(age[e], DEADLINE);
		if
		:: run_msg[e] -> increment(run_age[e], RUN_AGE_MAX + 1)
		:: else
		fi
	:: else
	fi;
	if
	:: job[e] == J_DETACHED && ENTRY_RUNS(e) -> decrement(detached[e]);
		if
		:: detached[e] == 0 -> job[e] = J_QUEUED; sent_to[e] = NONE
		:: else
		fi
	:: job[e] == J_DETACHED && !ENTRY_RUNS(e) -> decrement(detached[e])
	:: job[e] == J_SENT && ENTRY_RUNS(e) ->
		if
		:: LINK_OK(e, sent_to[e]) && AGENT_RUNS(sent_to[e]) ->
			silence[e] = 0
		:: else -> increment(silence[e], SILENCE_MAX)
		fi;
		if
		:: silence[e] >= SILENCE_MAX || !up[LINK(e, sent_to[e])] ->
			close_link(e, sent_to[e])
		:: else
		fi
	:: else
	fi
}

/* The entry abandons the job when the caller's deadline passes. */
inline caller_step() {
	if
	:: caller == C_WAITING -> decrement(deadline);
		if
		:: deadline == 0 -> caller_disconnects()
		:: else
		fi
	:: caller == C_RESENDS -> decrement(resend_in)
	:: else
	fi
}

inline step() {
	contact_step(0); contact_step(1);
	agent_step(0); agent_step(1);
	entry_step(0); entry_step(1);
	caller_step()
}

active proctype system()
{
	job[0] = J_QUEUED;
	job[1] = J_NONE;
	run_state[0] = R_NONE;
	run_state[1] = R_NONE;
	up[0] = true; up[1] = true; up[2] = true; up[3] = true;
	do
	:: atomic { dispatch(0, 0) }
	:: atomic { dispatch(0, 1) }
	:: atomic { dispatch(1, 0) }
	:: atomic { dispatch(1, 1) }
	:: atomic { deliver_run(0, 0) }
	:: atomic { deliver_run(0, 1) }
	:: atomic { deliver_run(1, 0) }
	:: atomic { deliver_run(1, 1) }
	:: atomic { resolve_start(0) }
	:: atomic { resolve_start(1) }
	:: atomic { execute_delayed_start(0) }
	:: atomic { execute_delayed_start(1) }
	:: atomic { deliver_drop(0) }
	:: atomic { deliver_drop(1) }
	:: atomic { stop_run(0) }
	:: atomic { stop_run(1) }
	:: atomic { stop_orphan(0) }
	:: atomic { stop_orphan(1) }
	:: atomic { finish(0) }
	:: atomic { finish(1) }
	:: atomic { attach(0, 0) }
	:: atomic { attach(0, 1) }
	:: atomic { attach(1, 0) }
	:: atomic { attach(1, 1) }
	:: atomic { fault() }
	:: atomic { recover() }
	:: atomic { caller == C_RESENDS && resend_in == 0 && !dead[1] &&
		job[1] == J_NONE -> caller = C_WAITING; caller_entry = 1;
		deadline = DEADLINE; job[1] = J_QUEUED; age[1] = 0 }
	:: atomic { caller != C_DONE && !AGENT_DUE(0) && !AGENT_DUE(1) &&
		!DROP_DUE(0) && !DROP_DUE(1) ->
		step() }
	:: caller == C_DONE -> break
	od
}
