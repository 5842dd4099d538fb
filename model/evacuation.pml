/*
 * Spread of the set of evacuated data centres (docs/design/evacuation.md).
 *
 * An operator changes the row of a zone in the store.  Entries 0 and 1 read the
 * table and follow its changes; the history may be lost, so that the table is
 * read again.  With -DPAGES there is a second zone, and the table is read in two
 * pages, one for each zone.  Entries exchange sets with
 * each other and send them to an agent (process 2), which tells the versions
 * that it holds.  A set is represented by its version; the rows as of a version
 * are in hist[].  Messages on a link arrive in order.  Faults: entries and the
 * agent restart, the link between the entries holds its messages back, and
 * entry 1 loses the store for good at any time.
 *
 * Assertions check that
 *  - a set read from the store is that of its version;
 *  - the version of a process never decreases;
 *  - a version that an entry takes as confirmed is held by the agent;
 *  - when nothing more happens, all processes hold the rows in the store, and
 *    each entry knows that the agent has confirmed the evacuation of its zone,
 *    which is zone 1.
 * Every action is enabled only if it has something to do, so that each
 * execution ends.
 *
 * Each -DBUG_ switch breaks one rule and must give a counterexample.
 */
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* of any process, in total */
#endif
#ifndef CUTS
#define CUTS 1
#endif
#define AGENT 2
#define QUEUE 8

byte now; /* version of the store */
byte hist[CHANGES + 1]; /* evacuated zones as of each version */
byte row1[CHANGES + 1], row2[CHANGES + 1]; /* versions of their rows, or 0 */
byte ver[3]; /* version held */
bool reach1 = true; /* entry 1 reaches the store */
bool cut; /* messages between the entries are held back */
byte restarts, cuts;

/* Reading of the store by an entry. */
byte phase[2]; /* 0: page 1 is next; 1: page 2; 2: catching up; 3: following */
byte page[2]; /* zones in page 1 */
byte first[2]; /* version of page 1 */
byte known[2]; /* version up to which changes were read */

/* Links: sets to each process, and the agent's versions to the entries. */
chan peer[2] = [QUEUE] of { byte };
chan down[2] = [QUEUE] of { byte };
chan up[2] = [QUEUE] of { byte };
bool attached[2];
byte sent[2]; /* highest version sent to the agent on this link */
byte conf[2]; /* highest version that it has shown on this link */
byte shown[2]; /* the same, at the agent */
byte changed; /* version of the agent's last changed set */

#define DIFFER(v, w) (row1[v] != row1[w] || row2[v] != row2[w])

inline to_agent(i)
{
	if
	:: attached[i] && sent[i] < ver[i] ->
		sent[i] = ver[i];
		down[i]!ver[i]
	:: else
	fi
}

/* An entry gets a set from the store or from its peer. */
inline adopt(i, v)
{
#ifdef BUG_OLDER
	if
	:: v != ver[i] ->
#else
	if
	:: v > ver[i] ->
#endif
		assert(v >= ver[i]);
		old = ver[i];
		ver[i] = v;
		if
		:: DIFFER(v, old) ->
			to_agent(i);
			peer[1 - i]!v
		:: else ->
#ifndef BUG_AGENTS_AHEAD
			if
			:: conf[i] > old -> to_agent(i)
			:: else
			fi
#else
			skip
#endif
		fi
	:: else
	fi
}

inline tell(e)
{
	if
	:: attached[e] && shown[e] < ver[AGENT] ->
		shown[e] = ver[AGENT];
		up[e]!ver[AGENT]
	:: else
	fi
}

inline empty_queue(q)
{
	do
	:: len(q) > 0 -> q?_
	:: else -> break
	od
}

inline drop_link(i)
{
	attached[i] = false;
	empty_queue(down[i]);
	empty_queue(up[i])
}

active proctype Operator()
{
	byte z;

	do
	:: atomic { now < CHANGES ->
		z = hist[now];
		now++;
		if
		:: hist[now] = z ^ 1
#ifdef PAGES
		:: hist[now] = z ^ 2
		:: hist[now] = z /* another row */
#endif
		fi;
		row1[now] = ((hist[now] & 1) == 0 -> 0 :
		    ((z & 1) == 0 -> now : row1[now - 1]));
		row2[now] = ((hist[now] & 2) == 0 -> 0 :
		    ((z & 2) == 0 -> now : row2[now - 1])) }
	:: break
	od
}

active proctype Faults()
{
	byte old;

	do
	:: atomic { restarts < RESTARTS ->
		restarts++;
		if
		:: drop_link(0);
			ver[0] = 0; phase[0] = 0; known[0] = 0;
			empty_queue(peer[0]); empty_queue(peer[1]);
			if
			:: ver[1] > 0 -> peer[0]!ver[1]
			:: else
			fi
		:: drop_link(1);
			ver[1] = 0; phase[1] = 0; known[1] = 0;
			empty_queue(peer[0]); empty_queue(peer[1]);
			if
			:: ver[0] > 0 -> peer[1]!ver[0]
			:: else
			fi
		:: drop_link(0); drop_link(1);
			ver[AGENT] = 0; changed = 0
		fi }
	:: atomic { cuts < CUTS && !cut -> cut = true; cuts++ }
	:: atomic { cut -> cut = false }
	:: atomic { reach1 -> reach1 = false }
	:: atomic { !cut -> break }
	od
}

/* The store client of an entry. */
proctype Reader(byte i)
{
	byte old, v;

end:	do
#ifndef PAGES
	:: atomic { phase[i] == 0 && (i == 0 || reach1) ->
		known[i] = now;
		phase[i] = 3;
		adopt(i, now) }
#else
	:: atomic { phase[i] == 0 && (i == 0 || reach1) ->
		page[i] = hist[now] & 1;
		first[i] = now;
		phase[i] = 1 }
	:: atomic { phase[i] == 1 && (i == 0 || reach1) ->
#ifdef BUG_MIXED_PAGES
		assert((page[i] | (hist[now] & 2)) == hist[first[i]]);
#endif
		if
		:: now == first[i] ->
			assert((page[i] | (hist[now] & 2)) == hist[now]);
			known[i] = now;
			phase[i] = 3;
			adopt(i, now)
		:: else -> phase[i] = 2
		fi }
	:: atomic { phase[i] == 2 && (i == 0 || reach1) ->
		known[i] = now;
		phase[i] = 3;
		adopt(i, now) }
#endif
	:: atomic { phase[i] == 3 && known[i] < now && (i == 0 || reach1) ->
		if
		:: phase[i] = 0 /* the history is lost */
		:: v = now;
			do
			:: v > known[i] && hist[v] == hist[v - 1] -> v--
			:: else -> break
			od;
			if
			:: v > known[i] -> adopt(i, v)
			:: else
			fi;
			known[i] = now
		fi }
	od
}

/* Messages to an entry, and its PING to the other one. */
proctype Links(byte i)
{
	byte old, v;

end:	do
	:: atomic { !cut && len(peer[i]) > 0 ->
		peer[i]?v;
		adopt(i, v) }
#ifndef BUG_NO_PING
	:: atomic { !cut && len(peer[i]) == 0 && ver[1 - i] > ver[i] ->
		peer[i]!ver[1 - i] }
#endif
	:: atomic { len(up[i]) > 0 ->
		up[i]?v;
		if
		:: v > conf[i] -> conf[i] = v
		:: else
		fi;
		assert(conf[i] <= ver[AGENT]);
		if
		:: v < ver[i] -> to_agent(i)
		:: else
		fi }
	od
}

/* The agent's link with an entry. */
proctype Agent(byte i)
{
	byte v, old;

end:	do
	:: atomic { !attached[i] ->
		attached[i] = true;
		sent[i] = 0;
#ifndef BUG_CONFIRM_KEPT
		conf[i] = 0;
#endif
		assert(conf[i] <= ver[AGENT]);
		shown[i] = 0;
#ifndef BUG_NO_SET_ON_ATTACH
		to_agent(i);
#endif
#ifndef BUG_NOT_SHOWN
		if
		:: changed > 0 -> tell(i)
		:: else
		fi
#endif
		}
	:: atomic { len(down[i]) > 0 ->
		down[i]?v;
		old = ver[AGENT];
		if
		:: v > old ->
			ver[AGENT] = v;
			if
			:: DIFFER(v, old) ->
				changed = v;
#ifndef BUG_NOT_SHOWN
				tell(1 - i)
#endif
			:: else
			fi
		:: else
		fi;
		tell(i) }
	od
}

/* Checks the end of each execution. */
active proctype Check()
{
	timeout;
	assert(hist[ver[0]] == hist[now]);
	assert(hist[ver[1]] == hist[now]);
	assert(hist[ver[AGENT]] == hist[now]);
	if
	:: row1[now] != 0 ->
		assert(conf[0] >= row1[now] && conf[1] >= row1[now])
	:: else
	fi
}

init
{
	atomic {
		run Reader(0);
		run Reader(1);
		run Links(0);
		run Links(1);
		run Agent(0);
		run Agent(1)
	}
}
