/*
 * Ownership and start protocol (docs/design.md, section 4) for one partition
 * and one submission id.
 *
 * Properties, all checked by assertions:
 *  (a) no task starts twice;
 *  (b) the answer `complete` is given only if every task has run to its end;
 *  (c) an answer `refused` at epoch e is given only if no task started under
 *      an epoch up to e, and none starts under such an epoch afterwards unless
 *      the caller submits the id again;
 *  (d) a task reported not_run at epoch e never starts under an epoch up to e,
 *      and under a later one only as part of a new run of the whole job, that
 *      is, if no task of the job had started before.
 * (c) and (d) are limited to the epoch because a paused owner cannot know that
 * the caller has submitted the id again at a later owner.
 *
 * Network: START and not_run messages are sets that only grow, so each may be
 * lost, duplicated, reordered or delayed without limit.  The other exchanges
 * are atomic: a lost one does not happen, and a delayed one needs no model,
 * because what it reports cannot change within the incarnation and epoch that
 * it names.
 *
 * Table: each transaction may happen at any time or never, which covers every
 * outage.  If an answer is lost, the transaction has taken effect, and its
 * sender finds that out later, by reading the rows, or never.  A paused entry
 * takes no steps while others do; a planned hand-over is a takeover while the
 * old owner is alive.
 *
 * Bounds: ENTRIES, AGENTS, EPOCHS, INCS (incarnations per agent), REGS,
 * CRASHES, AGENT_CRASHES, NOT_RUNS, TASKS.  NO_REREGISTER leaves out the
 * re-registration, and NO_LOST_JOIN the loss of the answer to a registration.
 * Answers and the ends of tasks are modelled if ANSWERS is defined.
 */
#ifndef TASKS
#define TASKS	1
#endif
#ifndef EPOCHS
#define EPOCHS	3
#endif
#ifndef INCS
#define INCS	2
#endif
#ifndef REGS
#define REGS	3	/* registrations of all agents, in total */
#endif
#ifndef CRASHES
#define CRASHES	1	/* of entries, in total; pauses do not count */
#endif
#ifndef NOT_RUNS
#define NOT_RUNS	1	/* answers not_run, in total */
#endif
#ifndef AGENTS
#define AGENTS	2
#endif
#define ENTRIES	2
#define NO_OWNER	ENTRIES
/* In fence_due: no answer accounts for the agent. */
#define RECORD_LOST	7

/* Job states at an entry. */
#define NONE	0
#define OPEN	1	/* submitted, not answered */
#define REFUSED	2
#define ENDED	3
#define GIVEN_UP	4	/* the owner stepped down while it was open */

/* Task states at an entry; SENT + a: sent to, or on record at, agent a. */
#define NEW	0
#define DONE	1
#define LOST	2	/* may have run */
#define SENT	3

/* Table. */
byte epoch = 0;			/* also the version of `ownership` */
byte owner = NO_OWNER;		/* entry process that owns the partition */
byte row_inc[AGENTS];
bit row_complete[AGENTS];
bit row_closed[AGENTS];
bit claims;			/* the id is in the saved claims */
#ifdef LEAVE
bit row_saved[AGENTS];		/* `record_at` is set */
bit row_record[AGENTS];		/* the id is in `record/<id>` */
#endif

/* Network.  A START is identified by its epoch, agent and task. */
#define START_AT(e, a, t)	((((e) - 1) * AGENTS + (a)) * TASKS + (t))
byte start_inc[EPOCHS * AGENTS * TASKS];	/* incarnation named, or 0 */
bit not_run[EPOCHS * AGENTS * TASKS];	/* the agent has answered not_run */

#ifdef HANDOVER
bit given_up[EPOCHS + 1];	/* by the owner at this epoch (rule 5) */
#endif

/* Entries. */
#define AGENT_AT(k, a)	((k) * AGENTS + (a))
#define TASK_AT(k, t)	((k) * TASKS + (t))
byte own_epoch[ENTRIES];	/* at which it considers itself owner, or 0 */
byte fence_due[ENTRIES * AGENTS];	/* incarnation to answer FENCE, or 0 */
byte query_due[ENTRIES * AGENTS];	/* incarnation to be queried, or 0 */
bit known[ENTRIES * AGENTS];	/* the agent may have the id on record */
byte closed_inc[ENTRIES * AGENTS];	/* incarnation to get no work, or 0 */
bit claimed[ENTRIES];		/* a record of the id may be lost */
bit rebuilt[ENTRIES];		/* a query found a task started earlier */
#ifdef LEAVE
bit record_due[ENTRIES * AGENTS];	/* saved record must be read */
#endif
byte job[ENTRIES];
byte task[ENTRIES * TASKS];

/* Agents. */
#define DOWN	0
#define JOINING	1	/* row written, answer of the table not received */
#define UP	2
#define LEAVING	3	/* planned stop: the write of its record was sent */
#define LEFT	4	/* the write has taken effect */
byte state[AGENTS];
byte inc[AGENTS];
byte seen_epoch[AGENTS];	/* highest epoch seen */
#ifdef HELLO
byte first_inc[AGENTS];		/* of this process */
#endif
bit started[AGENTS * TASKS];	/* the record of starts */
bit ended[AGENTS * TASKS];
#ifdef BUG_CHECK_ON_RECEIPT
bit queued[EPOCHS * AGENTS * TASKS];	/* checked, not started */
#endif
#ifdef LEAVE
bit leave_sent[AGENTS];		/* write of the planned stop is in flight */
bit leave_record[AGENTS];	/* the id is in its `record/<id>` */
#endif

byte crashes;
byte not_runs;
#ifdef AGENT_CRASHES
byte agent_crashes;	/* unlimited if AGENT_CRASHES is not defined */
#endif

/* What has happened, known to the assertions only. */
byte ran_epoch[TASKS];		/* epoch of the START that started it, or 0 */
bit ran_to_end[TASKS];
byte refused_at;		/* highest epoch of a refusal that holds */
byte not_run_at[TASKS];		/* highest epoch of a report as not run */
#ifdef LEAVE
bit lost_record;		/* a process ended without a saved record */
#endif

#ifdef LEAVE
#define ALIVE(a)	(state[a] >= UP)
#define RECORDS_READ(k)	(!record_due[AGENT_AT(k, 0)] && \
	    !record_due[AGENT_AT(k, AGENTS - 1)])
#else
#define ALIVE(a)	(state[a] == UP)
#define RECORDS_READ(k)	true
#endif
#if AGENTS > 1
#define ACCOUNTED(k)	(fence_due[AGENT_AT(k, 0)] == 0 && \
	    fence_due[AGENT_AT(k, 1)] == 0 && RECORDS_READ(k))
#define QUERIED(k)	(query_due[AGENT_AT(k, 0)] == 0 && \
	    query_due[AGENT_AT(k, 1)] == 0)
#define MAY_REGISTER(a)	(row_inc[a] < INCS && row_inc[0] + row_inc[1] < REGS)
#else
#define ACCOUNTED(k)	(fence_due[AGENT_AT(k, 0)] == 0 && RECORDS_READ(k))
#define QUERIED(k)	(query_due[AGENT_AT(k, 0)] == 0)
#define MAY_REGISTER(a)	(row_inc[a] < INCS)
#endif

/* The id was issued by the entry itself at its current epoch (rule 10). */
#ifdef BUG_ISSUED_ANY_EPOCH
#define ISSUED_HERE(k)	true
#elif defined(ISSUED)
#define ISSUED_HERE(k)	(own_epoch[k] == ISSUED)
#else
#define ISSUED_HERE(k)	false
#endif
/* An id exists from its epoch on, but may be submitted to an earlier owner. */
#ifdef ISSUED
#define ID_EXISTS	(epoch >= ISSUED)
#else
#define ID_EXISTS	true
#endif
#if defined(ISSUED) && !defined(BUG_ISSUED_EARLIER_OWNER)
#define NOT_BEFORE_ISSUE(k)	(own_epoch[k] >= ISSUED)
#else
#define NOT_BEFORE_ISSUE(k)	true
#endif
/*
 * The entry knows all records that agents have of the id, and none is lost
 * (rules 5, 9 and 10).
 */
#ifdef BUG_NO_FENCE
#define RECORDS_KNOWN(k)	(!claimed[k])
#else
#define RECORDS_KNOWN(k)	(ISSUED_HERE(k) || (NOT_BEFORE_ISSUE(k) && \
			    ACCOUNTED(k) && QUERIED(k) && !claimed[k]))
#endif
/* The owner of the epoch before has given the job up unfinished (rule 5). */
#ifndef HANDOVER
#define CONTINUES(k)	false
#elif defined(BUG_GIVEN_UP_ANY_EPOCH)
#define CONTINUES(k)	(given_up[1] && own_epoch[k] > 1 || \
			    given_up[EPOCHS - 1] && own_epoch[k] == EPOCHS)
#else
#define CONTINUES(k)	given_up[own_epoch[k] - 1]
#endif
#ifdef BUG_CONTINUE_REBUILT
#define MAY_START(k)	RECORDS_KNOWN(k)
#elif defined(BUG_GIVEN_UP_CLAIMED)
#define MAY_START(k)	((RECORDS_KNOWN(k) && !rebuilt[k]) || \
			    (ACCOUNTED(k) && QUERIED(k) && CONTINUES(k)))
#else
#define MAY_START(k)	(RECORDS_KNOWN(k) && (!rebuilt[k] || CONTINUES(k)))
#endif
#ifdef BUG_GIVE_UP_REBUILT
#define MAY_GIVE_UP(k)	RECORDS_KNOWN(k)
#else
#define MAY_GIVE_UP(k)	MAY_START(k)
#endif

/* Condition of a transaction with claims: the version of `ownership`. */
#ifdef BUG_CLAIMS_UNCONDITIONAL
#define OWNERSHIP_CONDITION(k)	true
#else
#define OWNERSHIP_CONDITION(k)	(own_epoch[k] == epoch)
#endif

/* A closed incarnation gets no work until the agent has registered again. */
#ifdef BUG_CLOSED_GOES_ON
#define EXCLUDED(k, a)	false
#else
#define EXCLUDED(k, a)	(inc[a] == closed_inc[AGENT_AT(k, a)])
#endif
#ifdef BUG_SHUT_AFTER_ANSWER
#define READY_TO_CLOSE(k, a)	true
#else
#define READY_TO_CLOSE(k, a)	(closed_inc[AGENT_AT(k, a)] == row_inc[a])
#endif
/* When an owner reads the saved record of an agent (rule 12). */
#ifdef BUG_RECORD_UNREAD
#define READS_RECORD(a)	0
#elif defined(BUG_RECORD_OF_CLOSED_ONLY)
#define READS_RECORD(a)	(row_saved[a] && row_closed[a])
#else
#define READS_RECORD(a)	row_saved[a]
#endif
#ifdef BUG_REFUSE_UNACCOUNTED
#define MAY_REFUSE(k)	(!rebuilt[k])
#else
#define MAY_REFUSE(k)	MAY_START(k)
#endif

/*
 * A crash ends the ownership.  In the variant, the restarted entry takes a row
 * with its name as its own.
 */
#ifdef BUG_ADOPT_BY_NAME
#define CLEAR_OWNER(k)	skip
#else
#define CLEAR_OWNER(k)	owner = (owner == k -> NO_OWNER : owner)
#endif
#ifdef BUG_QUERY_ANY_INCARNATION
#define SAME_INCARNATION(k, a)	true
#else
#define SAME_INCARNATION(k, a)	(inc[a] == query_due[AGENT_AT(k, a)])
#endif
#ifdef BUG_RESULT_WITHOUT_EPOCH
#define REPORTED_NOT_RUN(k, a, t) (not_run[START_AT(own_epoch[k], a, t)] || \
	    not_run[START_AT(1, a, t)])
#else
#define REPORTED_NOT_RUN(k, a, t)	not_run[START_AT(own_epoch[k], a, t)]
#endif

#if TASKS > 1
#define ALL_TASKS(k, s)	(task[TASK_AT(k, 0)] == s && task[TASK_AT(k, 1)] == s)
#else
#define ALL_TASKS(k, s)	(task[TASK_AT(k, 0)] == s)
#endif

/* Without ANSWERS the job is always submitted at every owner. */
#ifdef ANSWERS
#define IS_OPEN(k)	(job[k] == OPEN)
#else
#define IS_OPEN(k)	true
#endif

inline clear_entry(k)
{
	own_epoch[k] = 0;
	claimed[k] = 0;
	rebuilt[k] = 0;
	job[k] = NONE;
	for (i : 0 .. AGENTS - 1) {
		fence_due[AGENT_AT(k, i)] = 0;
		query_due[AGENT_AT(k, i)] = 0;
		known[AGENT_AT(k, i)] = 0;
		closed_inc[AGENT_AT(k, i)] = 0;
#ifdef LEAVE
		record_due[AGENT_AT(k, i)] = 0;
#endif
	}
	for (i : 0 .. TASKS - 1) {
		task[TASK_AT(k, i)] = NEW;
	}
	i = 0;
}

/*
 * Another write of the agent's row changes its version, so that the write of a
 * planned stop that is in flight has no effect.
 */
inline write_row(a)
{
#if defined(LEAVE) && !defined(BUG_LEAVE_UNCONDITIONAL)
	leave_sent[a] = 0;
	leave_record[a] = 0
#else
	skip
#endif
}

/* Reads the agent's row: which incarnation must answer FENCE (rule 9). */
inline read_row(k, a)
{
	fence_due[AGENT_AT(k, a)] = (row_inc[a] == 0 ||
	    (row_closed[a] && row_complete[a]) -> 0 :
	    (row_complete[a] -> row_inc[a] : RECORD_LOST));
	closed_inc[AGENT_AT(k, a)] = (row_closed[a] -> row_inc[a] :
	    closed_inc[AGENT_AT(k, a)]);
#ifdef LEAVE
	record_due[AGENT_AT(k, a)] = READS_RECORD(a);
	assert(fence_due[AGENT_AT(k, a)] != RECORD_LOST ||
	    lost_record);					/* (e) */
#endif
}

inline become_owner(k)
{
	clear_entry(k);
	own_epoch[k] = epoch;
	claimed[k] = claims;
	for (i : 0 .. AGENTS - 1) {
		read_row(k, i);
	}
	i = 0;
}

inline save_claims(k, a)
{
#ifdef BUG_COMPLETE_WITHOUT_CLAIMS
	skip
#elif defined(BUG_CLAIMS_DISPATCHED_ONLY)
	/* This variant is only run with one task. */
	claims = claims || (start_inc[START_AT(own_epoch[k], a, 0)] != 0)
#else
	claims = claims || known[AGENT_AT(k, a)]
#endif
}

/* Takeover.  If its answer is lost, the entry reads the row later. */
inline take_over(k)
{
	epoch++;
	owner = k
}

/* FENCE and FENCE_REPLY (rule 4). */
inline fence(k, a)
{
	d_step { own_epoch[k] != 0 && fence_due[AGENT_AT(k, a)] != 0 &&
	    ALIVE(a) && inc[a] == fence_due[AGENT_AT(k, a)] &&
	    seen_epoch[a] <= own_epoch[k] ->
		seen_epoch[a] = own_epoch[k];
		fence_due[AGENT_AT(k, a)] = 0;
		for (i : 0 .. TASKS - 1) {
			if
			:: started[TASK_AT(a, i)] ->
				query_due[AGENT_AT(k, a)] = inc[a];
				known[AGENT_AT(k, a)] = 1
			:: else
			fi
		}
		i = 0 }
}

/* QUERY and QUERY_REPLY.  The record of another incarnation proves nothing. */
inline query(k, a)
{
	d_step { query_due[AGENT_AT(k, a)] != 0 && ALIVE(a) ->
		if
		:: SAME_INCARNATION(k, a) ->
			for (i : 0 .. TASKS - 1) {
				if
				:: started[TASK_AT(a, i)] ->
					task[TASK_AT(k, i)] = SENT + a;
					rebuilt[k] = 1
				:: else
				fi
			}
		:: else -> claimed[k] = 1
		fi;
		query_due[AGENT_AT(k, a)] = 0;
		i = 0 }
}

/* START, at most one per task, agent and epoch. */
inline dispatch(k, a, t)
{
	d_step { own_epoch[k] != 0 && ID_EXISTS && IS_OPEN(k) && MAY_START(k) &&
	    task[TASK_AT(k, t)] == NEW && ALIVE(a) && !EXCLUDED(k, a) &&
	    start_inc[START_AT(own_epoch[k], a, t)] == 0 ->
		start_inc[START_AT(own_epoch[k], a, t)] = inc[a];
		task[TASK_AT(k, t)] = SENT + a;
		known[AGENT_AT(k, a)] = 1 }
}

/* RESULT of a task that has ended. */
inline result(k, a, t)
{
	d_step { task[TASK_AT(k, t)] == SENT + a && ALIVE(a) &&
	    ended[TASK_AT(a, t)] -> task[TASK_AT(k, t)] = DONE }
}

/* RESULT with status not_run: the task may be dispatched again. */
inline result_not_run(k, a, t)
{
	d_step { task[TASK_AT(k, t)] == SENT + a && REPORTED_NOT_RUN(k, a, t) ->
		task[TASK_AT(k, t)] = NEW }
}

#ifdef HELLO
/*
 * HELLO with a new incarnation, and the QUERY_REPLY on the new link.  If it is
 * the same process, it has kept its record and refuses a START that names an
 * earlier incarnation, so a task that is not in the reply was not started.
 */
#ifdef BUG_HELLO_RESTART_KEEPS
#define SAME_PROCESS(k, a, t)	true
#else
#define SAME_PROCESS(k, a, t)	(start_inc[START_AT(own_epoch[k], a, t)] >= \
	    first_inc[a])
#endif
inline not_listed(k, a, t)
{
	d_step { task[TASK_AT(k, t)] == SENT + a && ALIVE(a) &&
	    start_inc[START_AT(own_epoch[k], a, t)] != 0 &&
	    start_inc[START_AT(own_epoch[k], a, t)] < inc[a] &&
	    SAME_PROCESS(k, a, t) && !started[TASK_AT(a, t)] ->
		task[TASK_AT(k, t)] = NEW }
}
#endif

/* Loss of the link to the agent; the agent may be alive. */
inline lose_task(k, a, t)
{
	d_step { task[TASK_AT(k, t)] == SENT + a -> task[TASK_AT(k, t)] = LOST }
}

/* A lost agent gets no more work, even before its row is written. */
inline exclude_agent(k, a)
{
	d_step { own_epoch[k] != 0 && ACCOUNTED(k) && row_inc[a] != 0 &&
	    !row_closed[a] && closed_inc[AGENT_AT(k, a)] != row_inc[a] ->
		closed_inc[AGENT_AT(k, a)] = row_inc[a] }
}

/*
 * Rules 7 and 8, in one transaction.  The claims cover what this owner sent to
 * the agent and what the agent has on record from earlier owners.
 */
inline account(k, a)
{
	d_step { own_epoch[k] != 0 && ACCOUNTED(k) && OWNERSHIP_CONDITION(k) &&
	    row_inc[a] != 0 && !row_complete[a] ->
		row_complete[a] = 1;
		write_row(a);
		save_claims(k, a) }
}

inline close_agent(k, a)
{
	d_step { own_epoch[k] != 0 && ACCOUNTED(k) && OWNERSHIP_CONDITION(k) &&
	    row_inc[a] != 0 && !row_closed[a] && READY_TO_CLOSE(k, a) ->
		row_complete[a] = 1;
		row_closed[a] = 1;
		write_row(a);
		save_claims(k, a) }
}

#ifdef LEAVE
/* The hashes of a saved record become claims of the partition (rule 12). */
inline read_record(k, a)
{
	d_step { record_due[AGENT_AT(k, a)] ->
		record_due[AGENT_AT(k, a)] = 0;
		claimed[k] = claimed[k] || row_record[a] }
}
#endif

#ifdef CONFIRM
/*
 * The refusal of an id that has not started is confirmed by the table or, with
 * the store down, by an agent.  The conditions of the decision still hold then,
 * since only the loss of the ownership changes them.
 */
#define MAY_CONFIRM(k)	(own_epoch[k] != 0 && ID_EXISTS && MAY_REFUSE(k) && \
	    task[TASK_AT(k, 0)] == NEW)
#ifdef BUG_CONFIRM_CLOSED
#define NOT_CLOSED(k, a)	true
#else
#define NOT_CLOSED(k, a)	(!EXCLUDED(k, a))
#endif
/* A reply of an agent that has sent LEAVE confirms nothing. */
#ifdef BUG_CONFIRM_LEAVING
#define CONFIRMS(k, a)	ALIVE(a)
#else
#define CONFIRMS(k, a)	(state[a] == UP)
#endif
#ifdef BUG_CONFIRM_ANY_EPOCH
#define SAME_EPOCH(k, a)	true
#else
#define SAME_EPOCH(k, a)	(seen_epoch[a] == own_epoch[k])
#endif

inline confirm_by_table(k)
{
	d_step { MAY_CONFIRM(k) && own_epoch[k] == epoch && owner == k ->
		assert(ran_epoch[0] == 0) }			/* (f) */
}

inline confirm_by_agent(k, a)
{
	d_step { MAY_CONFIRM(k) && CONFIRMS(k, a) && NOT_CLOSED(k, a) &&
	    SAME_EPOCH(k, a) ->
		assert(ran_epoch[0] == 0) }			/* (f) */
}
#endif

#ifdef ANSWERS
inline answer_complete(k)
{
	d_step { job[k] == OPEN && ALL_TASKS(k, DONE) ->
		for (i : 0 .. TASKS - 1) {
			assert(ran_to_end[i]);			/* (b) */
		}
		job[k] = ENDED;
		i = 0 }
}

inline answer_refused(k)
{
	d_step { job[k] == OPEN && ALL_TASKS(k, NEW) && MAY_REFUSE(k) ->
		for (i : 0 .. TASKS - 1) {
			assert(ran_epoch[i] == 0 ||
			    ran_epoch[i] > own_epoch[k]);	/* (c) */
		}
		refused_at = (refused_at > own_epoch[k] -> refused_at :
		    own_epoch[k]);
		job[k] = REFUSED;
		i = 0 }
}

/* Reports tasks in flight or lost as unknown, undispatched ones as not_run. */
inline answer_failed(k)
{
	d_step { job[k] == OPEN && !ALL_TASKS(k, DONE) && !ALL_TASKS(k, NEW) ->
		for (i : 0 .. TASKS - 1) {
			if
			:: task[TASK_AT(k, i)] == NEW && RECORDS_KNOWN(k) ->
				assert(ran_epoch[i] == 0 ||
				    ran_epoch[i] > own_epoch[k]); /* (d) */
				not_run_at[i] = (not_run_at[i] > own_epoch[k] ->
				    not_run_at[i] : own_epoch[k])
			:: task[TASK_AT(k, i)] >= SENT ->
				task[TASK_AT(k, i)] = LOST
			:: else
			fi
		}
		job[k] = ENDED;
		i = 0 }
}
#endif

#ifdef HANDOVER
/* The owner steps down and will not report the end of the job. */
inline give_up(k)
{
	d_step { own_epoch[k] != 0 && job[k] == OPEN && MAY_GIVE_UP(k) ->
#ifndef BUG_GIVEN_UP_REPORTED
		job[k] = GIVEN_UP;
#endif
		given_up[own_epoch[k]] = 1 }
}
#endif

proctype entry(byte k)
{
	byte i;

end:	do
	/* By symmetry, entry 0 is the first owner. */
	:: d_step { owner != k && epoch < EPOCHS && (epoch > 0 || k == 0) ->
		take_over(k);
		become_owner(k) }
	:: d_step { owner != k && epoch < EPOCHS && (epoch > 0 || k == 0) ->
		take_over(k) }
	:: d_step { owner == k && own_epoch[k] != epoch -> become_owner(k) }

	/*
	 * Crash.  The table names a process as the owner: the restarted entry
	 * is another process and not the owner.
	 */
	:: d_step { own_epoch[k] != 0 && crashes < CRASHES ->
		crashes++;
		clear_entry(k);
		CLEAR_OWNER(k) }

	/* Reads again the rows of agents that are not accounted for. */
	:: d_step { own_epoch[k] != 0 && own_epoch[k] == epoch &&
	    !ACCOUNTED(k) ->
		claimed[k] = claimed[k] || claims;
		for (i : 0 .. AGENTS - 1) {
			if
			:: fence_due[AGENT_AT(k, i)] != 0 -> read_row(k, i)
			:: else
			fi
		}
		i = 0 }
#ifdef ANSWERS
	/* Submission or resubmission.  After a refusal it is a new run. */
	:: d_step { own_epoch[k] != 0 &&
	    (job[k] == NONE || job[k] == REFUSED) ->
		refused_at = (job[k] == REFUSED && refused_at == own_epoch[k] ->
		    0 : refused_at);
		job[k] = OPEN }
	:: answer_complete(k)
	:: answer_refused(k)
	:: answer_failed(k)
#endif
#ifdef HANDOVER
	:: give_up(k)
#endif
#ifdef CONFIRM
	:: confirm_by_table(k)
#endif
	od
}

/* Exchanges of entry k with agent a, and its writes of that agent's row. */
proctype link(byte k, a)
{
	byte i;

end:	do
	:: fence(k, a)
	:: query(k, a)
	:: exclude_agent(k, a)
	:: account(k, a)
	:: close_agent(k, a)
#ifdef LEAVE
	:: read_record(k, a)
#endif
#ifdef CONFIRM
	:: confirm_by_agent(k, a)
#endif
	:: dispatch(k, a, 0)
	:: result_not_run(k, a, 0)
#ifdef HELLO
	:: not_listed(k, a, 0)
#endif
#ifdef ANSWERS
	:: result(k, a, 0)
	:: lose_task(k, a, 0)
#endif
#if TASKS > 1
	:: dispatch(k, a, 1)
	:: result_not_run(k, a, 1)
#ifdef ANSWERS
	:: result(k, a, 1)
	:: lose_task(k, a, 1)
#endif
#endif
	od
}

/* Checks before a start (rule 3). */
#ifdef BUG_NO_INCARNATION
#define FOR_THIS_INC(e, a, t)	(start_inc[START_AT(e, a, t)] != 0)
#else
#define FOR_THIS_INC(e, a, t)	(start_inc[START_AT(e, a, t)] == inc[a])
#endif
#ifdef BUG_NOT_RUN_MAY_START
#define ANSWERED_NOT_RUN(e, a, t)	false
#else
#define ANSWERED_NOT_RUN(e, a, t)	not_run[START_AT(e, a, t)]
#endif
#define ADMITS(e, a, t)	(FOR_THIS_INC(e, a, t) && seen_epoch[a] <= (e) && \
	    !started[TASK_AT(a, t)] && !ANSWERED_NOT_RUN(e, a, t))
#ifdef BUG_NOT_RUN_ON_RECORD
#define MAY_ANSWER_NOT_RUN(e, a, t)	(start_inc[START_AT(e, a, t)] == inc[a])
#elif defined(BUG_NOT_RUN_OTHER_INCARNATION)
#define MAY_ANSWER_NOT_RUN(e, a, t)	(start_inc[START_AT(e, a, t)] != 0 && \
	    !started[TASK_AT(a, t)])
#elif defined(HELLO)
#define MAY_ANSWER_NOT_RUN(e, a, t)	(start_inc[START_AT(e, a, t)] != 0 && \
	    start_inc[START_AT(e, a, t)] >= first_inc[a] && \
	    !started[TASK_AT(a, t)])
#else
#define MAY_ANSWER_NOT_RUN(e, a, t) (start_inc[START_AT(e, a, t)] == inc[a] && \
	    !started[TASK_AT(a, t)])
#endif

inline start_task(e, a, t)
{
	assert(ran_epoch[t] == 0);			/* (a) */
	assert(refused_at < e);				/* (c) */
	assert(not_run_at[t] < e);			/* (d) */
	for (i : 0 .. TASKS - 1) {
#ifdef HANDOVER
		/* A run begun after the not_run report may continue later. */
		assert(ran_epoch[i] == 0 ||
		    ran_epoch[i] > not_run_at[t]);	/* (d) */
#else
		assert(not_run_at[t] == 0 || ran_epoch[i] == 0 ||
		    ran_epoch[i] == e);			/* (d) */
#endif
	}
	i = 0;
	ran_epoch[t] = e;
	started[TASK_AT(a, t)] = 1;
	seen_epoch[a] = e
}

inline join(a)
{
	state[a] = UP;
#ifndef BUG_JOIN_WITHOUT_EPOCHS
	seen_epoch[a] = epoch
#endif
}

/* An agent that has begun its planned stop starts no tasks. */
#ifdef BUG_LEAVE_STARTS
#define STARTS_TASKS(a)	ALIVE(a)
#else
#define STARTS_TASKS(a)	(state[a] == UP)
#endif
/* Receives a START, which may be of any age: checks it and starts its task. */
inline receive(e, a, t)
{
#ifdef BUG_CHECK_ON_RECEIPT
	if
	:: d_step { state[a] == UP && ADMITS(e, a, t) ->
		queued[START_AT(e, a, t)] = 1 }
	:: d_step { state[a] == UP && queued[START_AT(e, a, t)] &&
	    !started[TASK_AT(a, t)] && !not_run[START_AT(e, a, t)] ->
		start_task(e, a, t) }
	fi
#else
	d_step { STARTS_TASKS(a) && ADMITS(e, a, t) ->
		start_task(e, a, t) }
#endif
}

/*
 * A START of a task that is not on record may be answered not_run: the epoch is
 * fenced, the lease has expired, the job is cancelled, or no slot is free.  The
 * agent then never starts this START.  If the START names another incarnation
 * or its task is on record, the task may have run, and the answer is never
 * not_run.
 */
inline answer_not_run(e, a, t)
{
	d_step { not_runs < NOT_RUNS && ALIVE(a) &&
	    !not_run[START_AT(e, a, t)] && MAY_ANSWER_NOT_RUN(e, a, t) ->
		not_runs++;
		not_run[START_AT(e, a, t)] = 1 }
}

inline finish(a, t)
{
	d_step { ALIVE(a) && started[TASK_AT(a, t)] && !ended[TASK_AT(a, t)] ->
		ended[TASK_AT(a, t)] = 1;
		ran_to_end[t] = 1 }
}

#ifdef LEAVE
/*
 * A planned stop (rule 12) sends its write, and repeats it when the row was
 * written meanwhile.  The write takes effect at any time or never, possibly
 * after the process has ended.  The process read the hashes in `record/<id>`
 * when it registered; no other process writes them while it runs.
 */
#if TASKS > 1
#define ON_RECORD(a)	(started[TASK_AT(a, 0)] || started[TASK_AT(a, 1)])
#else
#define ON_RECORD(a)	started[TASK_AT(a, 0)]
#endif

inline leave(a)
{
	d_step { (state[a] == UP || state[a] == LEAVING) && !leave_sent[a] ->
		state[a] = LEAVING;
		leave_sent[a] = 1;
#ifdef BUG_LEAVE_DROPS_INHERITED
		leave_record[a] = ON_RECORD(a)
#else
		leave_record[a] = (row_record[a] || ON_RECORD(a))
#endif
	}
}

inline save_record(a)
{
	d_step { leave_sent[a] ->
		leave_sent[a] = 0;
		row_record[a] = leave_record[a];
		leave_record[a] = 0;
		row_saved[a] = 1;
		state[a] = (state[a] == LEAVING -> LEFT : state[a]);
#ifdef BUG_LEAVE_ALL_COMPLETE
		row_complete[a] = 1;
#endif
		row_closed[a] = 1 }
}
#endif

/*
 * If the row of the previous process was closed and complete, the new process
 * keeps `complete`: what ran before is in the saved record or in the claims.
 */
#if defined(LEAVE) && !defined(BUG_SUCCESSOR_NOT_COMPLETE)
#define KEEPS_COMPLETE(a)	(row_closed[a] && row_complete[a])
#else
#define KEEPS_COMPLETE(a)	false
#endif

/* The end of a process after its planned stop is not a crash. */
#ifdef AGENT_CRASHES
#define MAY_CRASH	(agent_crashes < AGENT_CRASHES || state[a] >= LEAVING)
#else
#define MAY_CRASH	true
#endif

proctype agent(byte a)
{
	byte i, t;

end:	do
	/*
	 * Registration of a new process (rules 6 and 7).  By symmetry, agent 0
	 * is the first.
	 */
	:: atomic { state[a] == DOWN && MAY_REGISTER(a) &&
	    (a == 0 || row_inc[0] > 0) ->
#ifdef BUG_RESTART_WHOLE
		row_complete[a] = 1;
#else
		row_complete[a] =
		    (row_inc[a] == 0 || KEEPS_COMPLETE(a) -> 1 : 0);
#endif
		write_row(a);
#ifdef LEAVE
		lost_record = lost_record ||
		    (row_inc[a] != 0 && !row_closed[a]);
#ifdef BUG_SUCCESSOR_DROPS_RECORD_AT
		row_saved[a] = 0;
#endif
#endif
		row_inc[a]++;
		row_closed[a] = 0;
		inc[a] = row_inc[a];
#ifdef HELLO
#ifdef BUG_HELLO_FIRST_OF_ROW
		first_inc[a] = 1;
#else
		first_inc[a] = row_inc[a];
#endif
#endif
		if
		:: join(a)
#ifndef NO_LOST_JOIN
		:: state[a] = JOINING
#endif
		fi }
	:: d_step { state[a] == JOINING -> join(a) }

	/*
	 * REREGISTER.  Owners of other partitions send it too, so it may
	 * arrive at any time.  `complete` keeps its value: all ones would mark
	 * a record that was lost earlier as complete.
	 */
#ifndef NO_REREGISTER
	:: d_step { state[a] == UP && MAY_REGISTER(a) ->
		row_inc[a]++;
		row_closed[a] = 0;
#ifdef BUG_REREGISTER_ALL_ONES
		row_complete[a] = 1;
#endif
		write_row(a);
		inc[a] = row_inc[a];
		seen_epoch[a] = epoch }
#endif
#ifdef LEAVE
	:: leave(a)
	:: save_record(a)
#endif

	/* Crash: the record is lost. */
	:: d_step { state[a] != DOWN && MAY_CRASH ->
#ifdef AGENT_CRASHES
		agent_crashes = (state[a] >= LEAVING -> agent_crashes :
		    agent_crashes + 1);
#endif
		state[a] = DOWN;
		inc[a] = 0;
		seen_epoch[a] = 0;
#ifdef HELLO
		first_inc[a] = 0;
#endif
		for (i : 0 .. TASKS - 1) {
			started[TASK_AT(a, i)] = 0;
			ended[TASK_AT(a, i)] = 0;
		}
#ifdef BUG_CHECK_ON_RECEIPT
		for (i : 1 .. EPOCHS) {
			for (t : 0 .. TASKS - 1) {
				queued[START_AT(i, a, t)] = 0;
			}
		}
		t = 0;
#endif
		i = 0 }

	:: receive(1, a, 0)
	:: answer_not_run(1, a, 0)
#if EPOCHS > 1
	:: receive(2, a, 0)
	:: answer_not_run(2, a, 0)
#endif
#ifdef ANSWERS
	:: finish(a, 0)
#endif
#if EPOCHS > 2
	:: receive(3, a, 0)
	:: answer_not_run(3, a, 0)
#endif
#if TASKS > 1
	:: receive(1, a, 1)
	:: answer_not_run(1, a, 1)
#if EPOCHS > 1
	:: receive(2, a, 1)
	:: answer_not_run(2, a, 1)
#endif
#ifdef ANSWERS
	:: finish(a, 1)
#endif
#if EPOCHS > 2
	:: receive(3, a, 1)
	:: answer_not_run(3, a, 1)
#endif
#endif
	od
}

init
{
	atomic {
		run entry(0);
		run entry(1);
		run link(0, 0);
		run link(1, 0);
		run agent(0);
#if AGENTS > 1
		run link(0, 1);
		run link(1, 1);
		run agent(1)
#endif
	}
}
