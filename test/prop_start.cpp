/*
 * Property test of starts and answers: random commands and faults in a
 * simulation of several entries and agents.  Guards against a task that starts
 * twice, an answer that is partial, wrong or meant for another job, and a
 * request that never gets an answer.  RC_PARAMS sets the seed and the number of
 * cases.
 */
#include <algorithm>
#include <cstdio>
#include <iostream>

#include <rapidcheck.h>

#include "prop_world.hpp"

enum class Kind {
	Submit,
	Resubmit,
	Lookup,
	Cancel,
	Disconnect,
	Ids,
	Run,
	Deliver,
	Finish,
	KillEntry,
	KillAgent,
	Replace,
	Pause,
	Cut,
	Stall,
	Store,
	StopEntry,
	StopAgent,
	Configure,
};

static const char *const kind_names[] = { "submit", "resubmit", "lookup",
	"cancel", "disconnect", "ids", "run", "deliver", "finish", "kill entry",
	"kill agent", "replace agent", "pause", "cut", "stall", "store",
	"stop entry", "stop agent", "configure" };

struct Command {
	Kind kind;
	unsigned a;
	unsigned b;
};

static std::ostream &
operator<<(std::ostream &os, const Command &c)
{
	return (os << kind_names[static_cast<int>(c.kind)] << "(" << c.a << ","
		   << c.b << ")");
}

static rc::Gen<Command>
any_command()
{
	return (rc::gen::construct<Command>(
	    rc::gen::weightedElement<Kind>({ { 18, Kind::Submit },
		{ 9, Kind::Resubmit }, { 2, Kind::Lookup }, { 3, Kind::Cancel },
		{ 2, Kind::Disconnect }, { 3, Kind::Ids }, { 16, Kind::Run },
		{ 12, Kind::Deliver }, { 3, Kind::Finish },
		{ 3, Kind::KillEntry }, { 2, Kind::KillAgent },
		{ 1, Kind::Replace }, { 6, Kind::Pause }, { 5, Kind::Cut },
		{ 3, Kind::Stall }, { 4, Kind::Store }, { 2, Kind::StopEntry },
		{ 1, Kind::StopAgent }, { 5, Kind::Configure } }),
	    rc::gen::inRange<unsigned>(0, 100),
	    rc::gen::inRange<unsigned>(0, 100)));
}

static void
execute(World &w, const Command &c)
{
	static const mlk_task_status ends[] = { MLK_TASK_DONE, MLK_TASK_FAILED,
		MLK_TASK_UNKNOWN };

	switch (c.kind) {
	case Kind::Submit:
		w.submit(c.a, c.b / 10, c.b);
		break;
	case Kind::Resubmit:
		w.resubmit(c.a, c.b / 2 % 8, c.b % 2 == 1);
		break;
	case Kind::Lookup:
		w.send_request(RequestType::Lookup, c.a, c.b % 8);
		break;
	case Kind::Cancel:
		w.send_request(RequestType::Cancel, c.a, c.b % 4);
		break;
	case Kind::Disconnect:
		w.disconnect_caller(c.a);
		break;
	case Kind::Ids:
		w.send_request(RequestType::Ids, c.a, 0);
		break;
	case Kind::Run: /* 10 ms to 4 s, mostly short */
		w.run((10 + c.a * c.a * 2 / 5) * MS);
		break;
	case Kind::Deliver:
		w.run((1 + c.a % 9) * MS);
		break;
	case Kind::Finish:
		w.finish(c.a, ends[c.b % 3]);
		break;
	case Kind::KillEntry:
		w.kill(c.a, true, c.b * 50 * MS, false);
		break;
	case Kind::KillAgent:
		w.kill(c.a, false, c.b * 50 * MS, false);
		break;
	case Kind::Replace:
		w.kill(c.a, false, c.b * 50 * MS, true);
		break;
	case Kind::Pause: /* mostly around the peer time-out and the lease */
		w.pause(c.a, (c.b < 80 ? 500 + c.b * 40 : c.b * 100) * MS);
		break;
	case Kind::Cut:
		w.cut(c.a, c.b);
		break;
	case Kind::Stall:
		w.stall(c.a, c.b, (1 + c.b) * 100 * MS);
		break;
	case Kind::Store:
		w.set_store_mode(c.a, (1 + c.b) * 100 * MS);
		break;
	case Kind::StopEntry:
		w.stop(c.a % ENTRIES);
		break;
	case Kind::StopAgent:
		w.stop(ENTRIES + c.a % AGENTS);
		break;
	case Kind::Configure:
		w.send_request(RequestType::Plan, c.a, c.b);
		break;
	}
}

/* Minimum counts of a run, so that it cannot pass without testing anything. */
static const std::pair<const char *, uint64_t> coverage[] = {
	{ "events", 100000 }, /* without ticks */
	{ "starts", 300 },
	{ "answers: complete", 100 },
	{ "answers: failed", 20 },
	{ "answers: refused", 5 },
	{ "answers: unknown", 20 },
	{ "takeovers", 50 },
	{ "joined", 20 },
	{ "forwards", 50 },
	{ "store answers lost", 5 },
	{ "issued ids used", 5 },
	{ "entries killed", 10 },
	{ "agents killed", 10 },
	{ "agents replaced", 3 },
	{ "pauses", 10 },
	{ "links cut", 10 },
	{ "stalls", 10 },
	{ "exits", 3 },
	{ "configurations confirmed", 5 },
};

int
main()
{
	bool ok = rc::check("starts and answers", [](uint64_t seed) {
		const auto commands = *rc::gen::scale(1.2,
		    rc::gen::container<std::vector<Command>>(any_command()));
		World w(seed);

		w.run(1500 * MS);
		for (const Command &c : commands)
			execute(w, c);
		w.quiesce();
	});

	for (const auto &it : stats)
		std::printf("%-28s %10llu\n", it.first.c_str(),
		    (unsigned long long)it.second);
	for (const auto &need : coverage) {
		if (!ok || stats[need.first] >= need.second)
			continue;
		std::printf("coverage: %s: %llu, at least %llu expected\n",
		    need.first, (unsigned long long)stats[need.first],
		    (unsigned long long)need.second);
		ok = false;
	}
	return (ok ? 0 : 1);
}
