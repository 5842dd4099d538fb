/*
 * At most one run of a task of an ephemeral job at a time, without a store and
 * without synchronised clocks (docs/decisions/platform.md).
 *
 * One task, a caller who sends again, two entries, two agents with a worker
 * each.  Time passes in steps of 200 ms; whoever is neither dead, paused nor
 * cut off does what is due before the next step.  Bounds of the code are
 * rounded towards the unsafe side.  Faults, FAULTS of them at any moment: an
 * entry or agent dies or stands still, a link is cut or reset, a worker leaves
 * a start unanswered and carries it out later, or answers no stop.
 *
 * Checked: never are both workers at work on the task.
 *
 * That an agent lets go of a silent entry (ENTRY_LEASE) frees the room early; it
 * is the limit of the renewals that keeps the promise.
 *
 * Mutants: BUG_DETACHED_SHORT, BUG_RENEW_UNLIMITED, BUG_AGE_ON_RECEIPT,
 * BUG_RENEW_AFTER_PAUSE, BUG_ATTACH_EARLY, BUG_NO_FENCE, BUG_PLACE_AFTER_PAUSE,
 * BUG_FULL_FIRST_LEASE.
 */
#ifndef FAULTS
#define FAULTS 2
#endif

#define RESEND 6 /* soonest return of a job, 1,300 ms */
#define LEASE 6 /* of runs at a worker, 1,020 ms by true time */
#define LIMIT 5 /* of a renewal, from an entry's last sign: 950 ms */
#define ENTRY_LEASE 4 /* 800 ms */
#define SILENT 3 /* the entry closes the link then */
#ifdef BUG_DETACHED_SHORT
#define DETACHED 3
#else
#define DETACHED 6 /* 1,250 ms */
#endif
#define STALE 2 /* an older RUN is not started */
#define DEADLINE 7
#define NONE 2

mtype = { J_NONE, J_QUEUED, J_SENT, J_DETACHED };
mtype = { C_WAITING, C_RETURNS, C_DONE };
mtype = { R_NONE, R_STARTING, R_ACTIVE, R_STOPPING };

/* The caller: at which entry it waits, or when it returns. */
mtype caller = C_WAITING;
byte at = 0;
byte returns;
byte deadline = DEADLINE;

/* Entries. */
bool dead[2], paused[2];
bool left_unread[2]; /* its caller has left while it stood still */
mtype job[2];
byte where[2] = NONE; /* agent with the task */
byte detached[2];
byte age[2]; /* steps since the job's caller sent it */
byte quiet[2]; /* steps without a sign of the agent with the task */

/* Agents and links; a link of an agent that stands still passes nothing on. */
bool adead[2], apaused[2];
#define L(e, a) (e * 2 + a)
bool up[4]; /* both ends think so, or have not noticed */
bool cut[4];

/* RUN on the way from where[] of an entry. */
bool run_msg[2];
byte run_age[2];

/*
 * DROP that an agent reads when it does not stand still.  What was sent later on
 * the link comes behind it, so that a cut loses both or neither.
 */
bool drop_msg[2];

/* The agent's record of its one run, and the worker. */
mtype rec[2];
byte rec_entry[2] = NONE;
byte told[2]; /* steps since that entry sent what has arrived last */
bool working[2]; /* the task is at work */
byte lease[2]; /* steps that it may go on without a renewal */
bool mute[2]; /* the worker answers no stop */
bool late_start[2]; /* a start is still to be carried out */
byte late_for[2]; /* steps until its lease is past */

byte faults;

inline grow(x, max) { x = (x < max -> x + 1 : max) }
inline shrink(x) { x = (x > 0 -> x - 1 : 0) }

#define ALIVE(e) (!dead[e] && !paused[e])
#define AALIVE(a) (!adead[a] && !apaused[a])
#define PASSES(e, a) (up[L(e, a)] && !cut[L(e, a)])

/* The entry's side of a link ends: its run there may go on for a while. */
inline entry_loses(e, a) {
	if
	:: where[e] == a && job[e] == J_SENT ->
		job[e] = J_DETACHED;
		detached[e] = DETACHED;
		quiet[e] = 0;
		run_age[e] = 0;
		run_msg[e] = false
	:: else
	fi
}

inline forget_job(e) {
	job[e] = J_NONE;
	where[e] = NONE;
	run_msg[e] = false;
	run_age[e] = 0;
	quiet[e] = 0;
	detached[e] = 0;
	age[e] = 0
}

/* The agent learns that its entry's hold is over: it stops the run. */
inline agent_stops(a) {
	if
	:: rec[a] == R_ACTIVE || rec[a] == R_STARTING -> rec[a] = R_STOPPING
	:: else
	fi
}

inline close_link(e, a) {
	up[L(e, a)] = false;
	entry_loses(e, a);
	if
	:: rec_entry[a] == e && AALIVE(a) && !cut[L(e, a)] -> agent_stops(a)
	:: else
	fi
}

inline worker_starts(a) {
	working[a] = true;
	assert(!(working[0] && working[1]))
}

inline worker_ends(a) {
	working[a] = false;
	lease[a] = 0
}

/* Tells the entry an end, or that nothing has run: it may start elsewhere. */
inline agent_done(a) {
	if
	:: rec_entry[a] != NONE && PASSES(rec_entry[a], a) &&
	   ALIVE(rec_entry[a]) && where[rec_entry[a]] == a &&
	   job[rec_entry[a]] == J_SENT ->
		job[rec_entry[a]] = J_QUEUED;
		where[rec_entry[a]] = NONE
	:: else
	fi;
	rec[a] = R_NONE;
	told[a] = 0;
	drop_msg[a] = false;
	rec_entry[a] = NONE
}

/* Gives a job up; DROP is on its way to the agent where the link passes. */
inline drop_job(e) {
	if
	:: where[e] != NONE && PASSES(e, where[e]) &&
	   rec_entry[where[e]] == e -> drop_msg[where[e]] = true
	:: else
	fi;
	forget_job(e)
}

inline caller_leaves() {
	if
	:: ALIVE(at) && job[at] != J_NONE -> drop_job(at)
	:: paused[at] && job[at] != J_NONE -> left_unread[at] = true
	:: else
	fi;
	caller = C_RETURNS;
	deadline = 0;
	returns = RESEND
}

/* One fault, at any moment. */
inline fault() {
	faults < FAULTS -> faults++;
	if
	:: !dead[0] -> dead[0] = true; paused[0] = false; forget_job(0);
		if
		:: caller == C_WAITING && at == 0 -> caller_leaves()
		:: else
		fi
	:: ALIVE(0) -> paused[0] = true;
		/* The caller may give up on a silent connection. */
		if
		:: caller == C_WAITING && at == 0 -> caller_leaves()
		:: true
		fi
	:: !adead[0] -> adead[0] = true; apaused[0] = false;
		rec[0] = R_NONE; rec_entry[0] = NONE; told[0] = 0;
		drop_msg[0] = false;
		if
		:: up[L(0, 0)] && !cut[L(0, 0)] && ALIVE(0) -> entry_loses(0, 0)
		:: else
		fi;
		up[L(0, 0)] = false
	:: AALIVE(0) -> apaused[0] = true
	:: !cut[L(0, 0)] -> cut[L(0, 0)] = true
	:: PASSES(0, 0) && ALIVE(0) -> close_link(0, 0)
	:: !mute[0] -> mute[0] = true
	:: true
	fi
}

inline recover() {
	if
	:: paused[0] -> paused[0] = false;
#ifndef BUG_PLACE_AFTER_PAUSE
		if
		:: left_unread[0] -> drop_job(0)
		:: else
		fi;
#endif
		left_unread[0] = false
	:: apaused[0] -> apaused[0] = false;
#ifdef BUG_AGE_ON_RECEIPT
		told[0] = 0;
#endif
#ifdef BUG_RENEW_AFTER_PAUSE
		if
		:: working[0] -> lease[0] = LEASE
		:: else
		fi;
#endif
		skip
	:: adead[0] -> adead[0] = false
	fi
}

#ifdef BUG_ATTACH_EARLY
#define NOTHING_LEFT(e, a) true
#else
#define NOTHING_LEFT(e, a) (!(rec[a] != R_NONE && rec_entry[a] == e) && \
	(rec[a] != R_NONE || (!working[a] && !late_start[a])))
#endif

/* The link comes back: the agent attaches when nothing of the entry is left. */
inline attach(e, a) {
	ALIVE(e) && AALIVE(a) && !up[L(e, a)] && !cut[L(e, a)] &&
	    NOTHING_LEFT(e, a) -> up[L(e, a)] = true;
	if
	:: where[e] == a && job[e] == J_DETACHED ->
		job[e] = J_QUEUED;
		where[e] = NONE
	:: else
	fi
}

inline place(e, a) {
	ALIVE(e) && job[e] == J_QUEUED && up[L(e, a)] -> job[e] = J_SENT;
	where[e] = a;
	run_msg[e] = true;
	run_age[e] = 0;
	quiet[e] = 0
}

#ifdef BUG_FULL_FIRST_LEASE
#define FIRST_LEASE(a) LEASE
#else
#define FIRST_LEASE(a) (LIMIT - told[a])
#endif

inline deliver_run(e, a) {
	run_msg[e] && where[e] == a && PASSES(e, a) && AALIVE(a) &&
	    rec[a] == R_NONE -> run_msg[e] = false;
	rec_entry[a] = e;
	told[a] = run_age[e];
	run_age[e] = 0;
	if
	:: told[a] > STALE || working[a] || late_start[a] -> agent_done(a)
	:: else ->
		/* The start is carried out, answered or not, or comes late. */
		if
		:: rec[a] = R_ACTIVE; worker_starts(a);
			lease[a] = FIRST_LEASE(a)
		:: faults < FAULTS -> faults++; rec[a] = R_STARTING;
			late_start[a] = true; late_for[a] = FIRST_LEASE(a)
		fi
	fi
}

/* What the worker has not begun under a lower fence, it never will. */
inline fence_raised(a) {
#ifndef BUG_NO_FENCE
	late_start[a] = false;
#endif
	skip
}

/* A start without an answer: the fence settles what has become of it. */
inline settle(a) {
	AALIVE(a) && rec[a] == R_STARTING && !mute[a] ->
	if
	:: working[a] -> rec[a] = R_ACTIVE
	:: else ->
		fence_raised(a);
		agent_done(a)
	fi
}

inline carry_out_late(a) {
	late_start[a] && late_for[a] > 0 -> late_start[a] = false;
	worker_starts(a);
	lease[a] = (late_for[a] < LEASE -> late_for[a] : LEASE)
}

inline deliver_drop(a) {
	drop_msg[a] && AALIVE(a) ->
	drop_msg[a] = false;
	agent_stops(a)
}

inline stop(a) {
	AALIVE(a) && rec[a] == R_STOPPING && !mute[a] -> worker_ends(a);
	fence_raised(a);
	agent_done(a)
}

/* An agent that has started anew finds a run, or a start, of the one before. */
inline clear_foreign(a) {
	AALIVE(a) && rec[a] == R_NONE && (working[a] || late_start[a]) &&
	    !mute[a] -> worker_ends(a);
	late_start[a] = false
}

inline finish(a) {
	working[a] && AALIVE(a) && rec[a] == R_ACTIVE && !mute[a] ->
	worker_ends(a);
	if
	:: PASSES(rec_entry[a], a) && ALIVE(rec_entry[a]) &&
	   where[rec_entry[a]] == a && job[rec_entry[a]] == J_SENT ->
		forget_job(rec_entry[a]);
		if
		:: caller == C_WAITING && at == rec_entry[a] -> caller = C_DONE
		:: else
		fi
	:: else
	fi;
	rec[a] = R_NONE;
	told[a] = 0;
	drop_msg[a] = false;
	rec_entry[a] = NONE
}

#ifdef BUG_AGE_ON_RECEIPT
#define SENT_COUNTS false
#else
#define SENT_COUNTS true
#endif

/* What must be done before time passes, by those who can. */
#define DUE_DROP(a) (AALIVE(a) && drop_msg[a])
#define DUE_AGENT(a) (AALIVE(a) && !mute[a] && (rec[a] == R_STOPPING || \
	(rec[a] == R_NONE && (working[a] || late_start[a]))))
/* Signs of an entry pass at once where nothing hinders them. */
inline sign_step(a) {
	if
	:: rec_entry[a] == NONE -> told[a] = 0
	:: rec_entry[a] != NONE && PASSES(rec_entry[a], a) &&
	   ALIVE(rec_entry[a]) && (AALIVE(a) || SENT_COUNTS) -> told[a] = 0
	:: else -> grow(told[a], LIMIT)
	fi
}

/* The agent lets go of an entry that is silent for too long. */
inline entry_lease(a) {
	if
	:: AALIVE(a) && rec_entry[a] != NONE &&
	   (told[a] >= ENTRY_LEASE || !up[L(rec_entry[a], a)]) ->
		up[L(rec_entry[a], a)] = false;
		agent_stops(a)
	:: else
	fi
}

#ifdef BUG_RENEW_UNLIMITED
#define RENEWAL(a) LEASE
#else
#define RENEWAL(a) (LIMIT - told[a])
#endif

/* The agent renews the lease, as far as the entry's last sign allows. */
inline agent_step(a) {
	if
	:: working[a] -> shrink(lease[a]);
		if
		:: AALIVE(a) && rec[a] == R_ACTIVE && rec_entry[a] != NONE &&
		   lease[a] < RENEWAL(a) -> lease[a] = RENEWAL(a)
		:: else
		fi;
		if
		:: lease[a] == 0 -> worker_ends(a)
		:: else
		fi
	:: else
	fi;
	if
	:: late_start[a] -> shrink(late_for[a]);
		if
		:: late_for[a] == 0 -> late_start[a] = false
		:: else
		fi
	:: else
	fi;
	if
	:: AALIVE(a) && (rec[a] == R_ACTIVE || rec[a] == R_STARTING ||
	   rec[a] == R_STOPPING) && !working[a] && !late_start[a] ->
		agent_done(a)
	:: else
	fi;
	entry_lease(a)
}

inline entry_step(e) {
	if
	:: job[e] != J_NONE -> grow(age[e], DEADLINE);
		if
		:: run_msg[e] -> grow(run_age[e], STALE + 1)
		:: else
		fi
	:: else
	fi;
	if
	:: job[e] == J_DETACHED && ALIVE(e) -> shrink(detached[e]);
		if
		:: detached[e] == 0 -> job[e] = J_QUEUED; where[e] = NONE
		:: else
		fi
	:: job[e] == J_DETACHED && !ALIVE(e) -> shrink(detached[e])
	:: job[e] == J_SENT && ALIVE(e) ->
		if
		:: PASSES(e, where[e]) && AALIVE(where[e]) -> quiet[e] = 0
		:: else -> grow(quiet[e], SILENT)
		fi;
		if
		:: quiet[e] >= SILENT || !up[L(e, where[e])] ->
			close_link(e, where[e])
		:: else
		fi
	:: else
	fi
}

/* The caller's time is over: the entry gives the job up at that moment. */
inline caller_step() {
	if
	:: caller == C_WAITING -> shrink(deadline);
		if
		:: deadline == 0 -> caller_leaves()
		:: else
		fi
	:: caller == C_RETURNS -> shrink(returns)
	:: else
	fi
}

inline step() {
	sign_step(0); sign_step(1);
	agent_step(0); agent_step(1);
	entry_step(0); entry_step(1);
	caller_step()
}

active proctype world()
{
	job[0] = J_QUEUED;
	job[1] = J_NONE;
	rec[0] = R_NONE;
	rec[1] = R_NONE;
	up[0] = true; up[1] = true; up[2] = true; up[3] = true;
	do
	:: atomic { place(0, 0) }
	:: atomic { place(0, 1) }
	:: atomic { place(1, 0) }
	:: atomic { place(1, 1) }
	:: atomic { deliver_run(0, 0) }
	:: atomic { deliver_run(0, 1) }
	:: atomic { deliver_run(1, 0) }
	:: atomic { deliver_run(1, 1) }
	:: atomic { settle(0) }
	:: atomic { settle(1) }
	:: atomic { carry_out_late(0) }
	:: atomic { carry_out_late(1) }
	:: atomic { deliver_drop(0) }
	:: atomic { deliver_drop(1) }
	:: atomic { stop(0) }
	:: atomic { stop(1) }
	:: atomic { clear_foreign(0) }
	:: atomic { clear_foreign(1) }
	:: atomic { finish(0) }
	:: atomic { finish(1) }
	:: atomic { attach(0, 0) }
	:: atomic { attach(0, 1) }
	:: atomic { attach(1, 0) }
	:: atomic { attach(1, 1) }
	:: atomic { fault() }
	:: atomic { recover() }
	:: atomic { caller == C_RETURNS && returns == 0 && !dead[1] &&
		job[1] == J_NONE -> caller = C_WAITING; at = 1;
		deadline = DEADLINE; job[1] = J_QUEUED; age[1] = 0 }
	:: atomic { caller != C_DONE && !DUE_AGENT(0) && !DUE_AGENT(1) &&
		!DUE_DROP(0) && !DUE_DROP(1) ->
		step() }
	:: caller == C_DONE -> break
	od
}
