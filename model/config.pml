/*
 * Confirmation and propagation of configurations (docs/design.md section 7).
 *
 * Two operators each make a plan on the version that an entry has, and may
 * confirm it.  A confirm first looks for the plan's digest in the audit trail.
 * If it is not there, one transaction writes the row and the audit record, on
 * the condition that the row is at the base version.  Answers are lost, writes
 * arrive late, and the operator repeats an unanswered or an answered confirm at
 * any entry.  Processes 0 and 1 (entries) and 2 (an agent) send each other
 * versions, with at most one message in transit to each; entries also read the
 * table.  A restarted process gets the version from a serving peer or the table
 * before it serves.
 *
 * A configuration is represented by its version and the digest of the plan
 * that made it.  Assertions check that
 *  - a version in force has an audit record of a confirmed plan;
 *  - there is one audit record per version and per plan;
 *  - a repeated confirm is answered with the same version;
 *  - no process applies a lower version;
 *  - no restarted process serves below the version of the peer or the row that
 *    it asked.
 * With -DLTL and weak fairness: accepted versions reach every process.
 * scripts/models.sh checks this for one operator.  Run by hand, it also holds
 * for two operators without faults (-DLTL -DRESTARTS=0 -DLOST=0 -DOUTAGES=0, 25
 * to 52 s).
 *
 * Each -DBUG_ switch breaks one rule and must give a counterexample.
 */
#ifndef RESTARTS
#define RESTARTS 1 /* of any process, in total */
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef LOST
#define LOST 1 /* answers of the table that are lost, per operator */
#endif
#ifndef OPERATORS
#define OPERATORS 2
#endif
#define N 3 /* processes; the entries are 0 and 1 */
#define MAXV 4
#define DIGESTS 5 /* 0: none; 1 and 2: first plans; 3 and 4: second plans */

bool up = true; /* the table service answers */
byte row; /* version of the configuration row */
byte row_digest;
byte audit[MAXV]; /* digest by version */
bool confirmed[DIGESTS];
byte answered[DIGESTS]; /* version in the answer to the confirm, or 0 */
byte accepted; /* highest answered version */

byte ver[N]; /* version in force */
byte dig[N]; /* its digest */
bool serving[N];
byte gen[N]; /* incarnation */
byte msg[N]; /* version in transit to the process, or 0 */
byte late_digest[2], late_base[2]; /* writes that arrive late */
byte restarts, outages;

inline check_in_force(v, d)
{
	assert(v == 0 || (confirmed[d] && audit[v] == d));
}

/* A process applies a version from a message or the table. */
inline apply(i, v)
{
#ifdef BUG_APPLY_LOWER
	if
	:: v != ver[i] ->
#else
	if
	:: v > ver[i] ->
#endif
		assert(v >= ver[i]);
		ver[i] = v;
		dig[i] = (v == 0 -> 0 : audit[v]);
		check_in_force(v, dig[i])
	:: else
	fi
}

/* One transaction: the row and its audit record, if the row is at base. */
inline table_write(base, d)
{
#ifdef BUG_NO_CONDITION
	if
	:: true ->
#else
	if
	:: row == base ->
#endif
		row = base + 1;
		row_digest = d;
		/* After a conflict the first plan has no effect. */
		assert(d <= 2 || (audit[1] != d - 2 && audit[2] != d - 2));
#ifndef BUG_SECOND_TRANSACTION
		assert(audit[row] == 0);
		audit[row] = d
#else
		skip
#endif
	:: else
	fi
}

/* Answers a confirm; a repeated one gets the same answer. */
inline answer(d, v)
{
	assert(answered[d] == 0 || answered[d] == v);
	answered[d] = v;
	if
	:: v > accepted -> accepted = v
	:: else
	fi
}

inline late_write(o)
{
	table_write(late_base[o], late_digest[o]);
	late_digest[o] = 0;
	late_base[o] = 0
}

inline find_audit(d, v)
{
	v = 1;
	do
	:: v < MAXV && audit[v] != d -> v++
	:: else -> break
	od;
	if
	:: v == MAXV -> v = 0
	:: else
	fi
}

/* ---- processes -------------------------------------------------------- */

proctype Process(byte i)
{
	byte j, v;

end:	do
	/* Restart: everything in memory and on the links is lost. */
	:: d_step { serving[i] && restarts < RESTARTS ->
		restarts++;
		gen[i]++;
		serving[i] = false;
		ver[i] = 0;
		dig[i] = 0;
		msg[i] = 0
	   }
#ifdef BUG_SERVE_FIRST
	:: d_step { !serving[i] ->
		j = 0;
		do
		:: j < N ->
			/* A serving peer j would have given version ver[j]. */
			assert(ver[i] >= (serving[j] -> ver[j] : 0));
			j++
		:: else -> break
		od;
		j = 0;
		serving[i] = true
	   }
#else
	/* A restarted process gets the version from the table or a peer. */
	:: d_step { !serving[i] && up ->
		apply(i, row);
		assert(ver[i] >= row);
		serving[i] = true
	   }
	:: d_step { !serving[i] && i != 0 && serving[0] ->
		apply(i, ver[0]);
		assert(ver[i] >= ver[0]);
		serving[i] = true
	   }
	:: d_step { !serving[i] && i != 1 && serving[1] ->
		apply(i, ver[1]);
		assert(ver[i] >= ver[1]);
		serving[i] = true
	   }
#endif
	/* Entries poll the table. */
	:: d_step { serving[i] && i < 2 && up && row > ver[i] ->
		assert(audit[row] == row_digest);
		apply(i, row)
	   }
#ifndef BUG_NO_MESSAGES
	/* Versions are sent to processes that have a lower one. */
	:: d_step { serving[i] && i != 0 && serving[0] && msg[0] == 0 &&
	    ver[0] < ver[i] -> msg[0] = ver[i] }
	:: d_step { serving[i] && i != 1 && serving[1] && msg[1] == 0 &&
	    ver[1] < ver[i] -> msg[1] = ver[i] }
	:: d_step { serving[i] && i != 2 && serving[2] && msg[2] == 0 &&
	    ver[2] < ver[i] -> msg[2] = ver[i] }
#endif
	:: d_step { serving[i] && msg[i] != 0 ->
		v = msg[i]; msg[i] = 0; apply(i, v); v = 0 }
	od
}

/* The table service: outages, and writes that arrive late. */
proctype Table()
{
end:	do
	:: d_step { up && outages < OUTAGES -> up = false; outages++ }
#ifndef OUTAGE_LASTS
	:: d_step { !up -> up = true }
#endif
	:: d_step { up && late_digest[0] != 0 ->
		late_write(0) }
	:: d_step { up && late_digest[1] != 0 ->
		late_write(1) }
	od
}

/* ---- operators -------------------------------------------------------- */

proctype Operator(byte me)
{
	byte e, base, d, g, v, lost;
	bool again, taken;

	e = me;
	d = me + 1;
plan:	/* A plan is made on the entry's version and changes nothing. */
	skip; /* Spin allows no jump into a d_step */
	d_step { serving[e] -> base = ver[e] };
	if
	:: goto done /* never confirmed */
	:: confirmed[d] = true
	fi;
confirm:
	if
	:: atomic { serving[0] -> e = 0; g = gen[0]; v = 0 }
	:: atomic { serving[1] -> e = 1; g = gen[1]; v = 0 }
	fi;
check:	/* Looks for the version that this plan made in the audit trail. */
	skip;
	if
	:: d_step { up && gen[e] == g ->
		find_audit(d, v);
		taken = (v == 0 && audit[base + 1] != 0)
	   }
	:: gen[e] != g -> goto confirm
	fi;
	if
	:: v != 0 ->
		/* The entry applies the version before it answers. */
		if
		:: d_step { gen[e] == g && serving[e] && ver[e] >= v ->
			answer(d, v) }
		:: gen[e] != g -> goto confirm
		fi;
		goto accepted_by
	:: else
	fi;
	/*
	 * Only an audit record of version base + 1 by another plan is a
	 * conflict: a higher version at the entry may come from a late write of
	 * this plan.
	 */
	if
#ifdef BUG_CONFLICT_BY_VERSION
	:: gen[e] == g && ver[e] != base -> goto conflict
#else
	:: gen[e] == g && taken && ver[e] > base -> goto conflict
	:: gen[e] == g && !taken && ver[e] != base -> goto check
#endif
	:: gen[e] == g && !taken && ver[e] == base
	:: gen[e] != g -> goto confirm
	fi;
	/* The write, which may arrive after the entry has restarted. */
	if
	:: d_step { up && gen[e] == g && row == base ->
		table_write(base, d);
		v = row
	   };
#ifdef BUG_SECOND_TRANSACTION
		if
		:: d_step { up -> audit[v] = d }
		:: gen[e] != g -> goto confirm
		fi;
#endif
		if
		:: d_step { gen[e] == g && serving[e] && audit[v] == d ->
			apply(e, v);
			answer(d, v)
		   };
			goto accepted_by
		:: lost < LOST -> lost++; goto confirm
		:: gen[e] != g -> goto confirm
		fi
	:: d_step { up && gen[e] == g && row != base ->
#ifdef BUG_NO_CONDITION
		table_write(base, d);
#endif
		skip
	   };
		goto check
	:: d_step { lost < LOST && late_digest[me] == 0 ->
		lost++;
		late_digest[me] = d;
		late_base[me] = base
	   };
		goto confirm
	:: gen[e] != g -> goto confirm
	fi;
conflict: /* A second plan, from the current version. */
	skip;
	d_step { taken = false; g = 0; v = 0 };
	if
	:: d <= 2 -> d = d + 2; goto plan
	:: else -> goto done
	fi;
accepted_by: /* The operator may repeat a confirm that was answered. */
	v = 0;
	if
	:: !again -> again = true; goto confirm
	:: goto done
	fi;
done:	skip;
	d_step { e = 0; base = 0; d = 0; g = 0; v = 0; lost = 0;
		taken = false; again = false }
}

init {
	atomic {
		byte k = 0;
		do
		:: k < N -> serving[k] = true; run Process(k); k++
		:: else -> break
		od;
		run Table();
		run Operator(0);
		if
		:: OPERATORS > 1 -> run Operator(1)
		:: else
		fi
	}
}

#ifdef LTL
#define REACHED(v) (ver[0] >= v && ver[1] >= v && ver[2] >= v)
ltl spread {
	[] ((accepted >= 1 -> <> REACHED(1)) &&
	    (accepted >= 2 -> <> REACHED(2)))
}
#endif
