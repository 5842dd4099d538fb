/*
 * Property test of evacuated data centres: entries, agents, workers and a store
 * under random sequences of evacuations, reads of the store, lost links and
 * restarts.  Entries and agents are the real reducers.  At every step:
 *
 *   set          a process with version v holds the set of the store's rows as
 *                of v
 *   version      the version of a process never decreases
 *   placement    an entry sends no RUN to an agent of a data centre that is in
 *                the set it holds
 *   start        an agent whose data centre is in the set it holds starts
 *                nothing, offers nothing and reports no free resources
 *
 * and once the last change is over and all links are back:
 *
 *   spread       all hold the set in force, and all agents have confirmed it
 */
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "fake_worker.h"
}

namespace {

constexpr int entries = 2, agents = 3, dcs = 2, zones = 3;
constexpr int nodes = entries + agents; /* entries first, then agents */
constexpr int tick_ms = 20, warm_up_ticks = 75, settle_ticks = 350;
constexpr size_t page_rows = 2;
constexpr int64_t ms_ns = 1000000;

enum op_kind {
	OP_EVACUATE, /* zone b */
	OP_CANCEL,
	OP_BRIEF, /* zone b is evacuated, entry a reads that, and it is over */
	OP_OTHER_ROW, /* a change of another row */
	OP_COMPACT, /* the store forgets its history */
	OP_STORE, /* entry a: next call to the store, or its answer */
	OP_CUT_STORE, /* entry a loses or gets back its link with the store */
	OP_CUT, /* node a and entry b lose or get back their links */
	OP_RESTART, /* node a */
	OP_ORDERS, /* agent a: orders are lost, or their answers, or neither */
	OP_DELIVER, /* one message of link a */
	OP_RUN, /* time passes; bits of a: entries that call the store */
	OP_KINDS
};

struct op {
	int kind;
	int a;
	int b;
};

std::ostream &
operator<<(std::ostream &os, const op &o)
{
	return os << "{" << o.kind << ", " << o.a << ", " << o.b << "}";
}

struct row {
	std::string dc;
	uint64_t version;
	bool removed;
};

/* An answer of the store: the rows as of the call. */
struct answer {
	mlk_watch_call call;
	std::vector<row> rows;
	uint64_t version;
	bool truncated;
	bool compacted;
};

struct node {
	mlk_dispatcher *d = nullptr;
	mlk_runner *r = nullptr;
	uint64_t life = 0; /* rises with each start */
	uint64_t version = 0; /* seen at the last event of this life */
	/* entries */
	mlk_watch watch{};
	mlk_evacuation_table *table = nullptr;
	std::deque<answer> answers; /* at most one */
	bool store_cut = false;
	/* agents */
	fake_worker worker{};
	std::deque<mlk_order> orders;
	uint64_t announced = 0;
	int order_fault = 0;
};

struct link {
	uint32_t id;
	int end[2];
	bool open[2];
	std::deque<mlk_msg> queue[2]; /* to end[i] */
};

struct connect {
	int from;
	uint64_t life;
	uint32_t id;
	int to;
};

class world {
    public:
	std::string violation;

	world()
	{
		history.emplace_back();
		for (int i = 0; i < nodes; i++) {
			if (i >= entries)
				fake_worker_init(&n[i].worker,
				    ("worker-" + std::to_string(i)).c_str(),
				    1000, 64000, now);
			start(i);
		}
		for (int i = 0; i < warm_up_ticks; i++)
			tick(0);
	}

	~world()
	{
		for (int i = 0; i < nodes; i++)
			stop(i);
		for (auto &l : links) {
			clear(l.queue[0]);
			clear(l.queue[1]);
		}
	}

	void
	apply(const op &o)
	{
		node &e = n[o.a % entries];
		node &a = n[entries + o.a % agents];
		const int x = o.a % nodes, y = o.b % entries;

		switch (o.kind) {
		case OP_EVACUATE:
		case OP_CANCEL:
			change(o.b % zones, o.kind == OP_CANCEL);
			break;
		case OP_BRIEF:
			change(o.b % zones, false);
			for (int i = 0; i < 4; i++)
				store_step(e);
			change(o.b % zones, true);
			break;
		case OP_OTHER_ROW:
			history.push_back(history.back());
			break;
		case OP_COMPACT:
			compacted = history.size() - 1;
			break;
		case OP_STORE:
			store_step(e);
			break;
		case OP_CUT_STORE:
			e.store_cut = !e.store_cut;
			break;
		case OP_CUT:
			cut[x][y] = cut[y][x] = !cut[x][y];
			break;
		case OP_RESTART:
			stop(x);
			start(x);
			break;
		case OP_ORDERS:
			a.order_fault = o.b % 3;
			break;
		case OP_DELIVER:
			if (!links.empty())
				deliver_one(
				    links[o.a % links.size()], o.b % 2);
			break;
		default:
			for (int i = 0; i < 1 + o.b; i++)
				tick(o.a);
			break;
		}
	}

	/* One entry has the store back, `lead` ticks before the links; the
	 * others learn from it. */
	void
	settle(int reader, int lead)
	{
		for (int i = 0; i < nodes; i++) {
			n[i].order_fault = 0;
			n[i].store_cut = i != reader;
		}
		for (int i = 0; i < lead; i++)
			tick(~0);
		std::memset(cut, 0, sizeof(cut));
		for (int i = 0; i < settle_ticks; i++)
			tick(~0);
		for (int i = 0; i < nodes; i++) {
			struct mlk_dispatch_gauges g{};
			if (n[i].d != nullptr)
				mlk_dispatch_gauges(n[i].d, &g);
			if (history[n[i].version] != history.back() ||
			    g.evacuations_unconfirmed != 0)
				violated("spread", i);
		}
	}

    private:
	node n[nodes];
	std::deque<link> links;
	std::vector<connect> connects;
	bool cut[nodes][nodes]{};
	int64_t now = 10000;
	uint32_t last_link = 0;
	uint64_t last_request = 0;
	uint64_t last_life = 0;
	/* The store: evacuated data centres with the versions of their rows, as
	 * of each version, and the changes. */
	std::vector<std::map<std::string, uint64_t>> history;
	std::vector<row> changes;
	uint64_t compacted = 0;

	void
	violated(const char *what, int i)
	{
		if (violation.empty())
			violation = std::string("violated: ") + what +
			    ": node " + std::to_string(i) + " at " +
			    std::to_string(now);
	}

	static std::string
	dc_of(int i)
	{
		return "dc-" + std::to_string(i % dcs);
	}

	static std::string
	addr_of(int i)
	{
		return "10.0.0." + std::to_string(i + 1) + ":7000";
	}

	static void
	clear(std::deque<mlk_msg> &queue)
	{
		for (auto &m : queue)
			mlk_msg_clear(&m);
		queue.clear();
	}

	bool
	evacuated(int i, const std::string &dc) const
	{
		return n[i].version < history.size() &&
		    history[n[i].version].count(dc) != 0;
	}

	/* ---- the store -------------------------------------------------- */

	void
	change(int zone, bool removed)
	{
		const std::string dc = "dc-" + std::to_string(zone);
		auto rows = history.back();
		const uint64_t version = history.size();

		if (removed && rows.erase(dc) == 0)
			return;
		if (!removed)
			rows[dc] = version;
		history.push_back(rows);
		changes.push_back({ dc, version, removed });
	}

	answer
	call(const mlk_watch &w, mlk_watch_call type)
	{
		answer a{ type, {}, history.size() - 1, false, false };

		if (type == MLK_WATCH_FOLLOW) {
			a.compacted = w.version < compacted;
			for (const auto &c : changes) {
				if (c.version > w.version)
					a.rows.push_back(c);
			}
			return a;
		}
		for (const auto &r : history.back()) {
			if (r.first < w.last_key)
				continue;
			a.truncated = a.rows.size() == page_rows;
			if (a.truncated)
				break;
			a.rows.push_back({ r.first, r.second, false });
		}
		return a;
	}

	/* Handles an answer as the store client of an entry does. */
	void
	answered(node &e, const answer &a)
	{
		const int i = static_cast<int>(&e - n);
		const int64_t t = now * ms_ns;
		mlk_evacuations set{};
		mlk_dispatch_event ev{};

		if (a.compacted) {
			mlk_watch_ended(&e.watch, MLK_WATCH_COMPACTED, 0, t);
			return;
		}
		if (!e.watch.following && e.watch.last_key[0] == '\0')
			mlk_evacuation_table_begin(e.table);
		for (const auto &r : a.rows)
			mlk_evacuation_table_row(
			    e.table, r.dc.c_str(), r.version, r.removed);
		if (a.truncated) {
			if (mlk_watch_page(&e.watch, a.rows.back().dc.c_str(),
				a.version, t) == 0)
				mlk_evacuation_table_page(e.table, a.version);
			return;
		}
		mlk_watch_ended(&e.watch, MLK_WATCH_ROWS, a.version, t);
		if (mlk_evacuation_table_end(e.table, a.version) !=
		    MLK_EVACUATION_ROWS_CHANGED)
			return;
		(void)mlk_evacuation_table_copy(e.table, &set);
		ev.type = MLK_DISPATCH_EVACUATIONS;
		ev.u.evacuations = &set;
		apply_entry(i, ev);
		std::free(set.items);
	}

	void
	store_step(node &e)
	{
		if (!e.answers.empty()) {
			const answer a = e.answers.front();
			e.answers.pop_front();
			if (e.store_cut)
				mlk_watch_ended(&e.watch,
				    MLK_WATCH_UNAVAILABLE, 0, now * ms_ns);
			else
				answered(e, a);
			return;
		}
		const mlk_watch_call type =
		    mlk_watch_due(&e.watch, now * ms_ns);
		if (type != MLK_WATCH_NONE)
			e.answers.push_back(call(e.watch, type));
	}

	/* ---- processes -------------------------------------------------- */

	void
	start(int i)
	{
		char addrs[entries][MLK_ADDR_MAX]{};
		uint32_t count = 0;

		n[i].life = ++last_life;
		n[i].version = 0;
		for (int k = 0; k < entries; k++) {
			if (k != i)
				std::snprintf(addrs[count++], MLK_ADDR_MAX,
				    "%s", addr_of(k).c_str());
		}
		if (i < entries) {
			mlk_dispatcher_options o;
			mlk_dispatcher_options_default(&o);
			std::snprintf(
			    o.self.id, MLK_NAME_MAX, "entry-%d", i);
			std::snprintf(o.self.dc, MLK_NAME_MAX, "%s",
			    dc_of(i).c_str());
			std::snprintf(o.self.addr, MLK_ADDR_MAX, "%s",
			    addr_of(i).c_str());
			o.self.incarnation = n[i].life;
			o.seed = n[i].life;
			o.nentries = count;
			o.entries = addrs;
			n[i].d = mlk_dispatcher_create(&o);
			n[i].table = mlk_evacuation_table_create();
			mlk_watch_init(&n[i].watch, n[i].life, 0);
			routes(i);
			return;
		}
		mlk_runner_options o;
		mlk_runner_options_default(&o);
		std::snprintf(o.id, MLK_NAME_MAX, "agent-%d", i);
		std::snprintf(o.dc, MLK_NAME_MAX, "%s", dc_of(i).c_str());
		o.incarnation = n[i].life;
		o.nentries = count;
		o.entries = addrs;
		n[i].r = mlk_runner_create(&o);
		announce(i);
	}

	void
	stop(int i)
	{
		for (auto &l : links) {
			for (int k = 0; k < 2; k++) {
				if (l.end[k] == i)
					close(l, k);
			}
		}
		mlk_dispatcher_destroy(n[i].d);
		mlk_runner_destroy(n[i].r);
		mlk_evacuation_table_destroy(n[i].table);
		n[i].d = nullptr;
		n[i].r = nullptr;
		n[i].table = nullptr;
		n[i].answers.clear();
		n[i].orders.clear();
	}

	void
	routes(int i)
	{
		mlk_route route{};
		mlk_routing routing{};
		mlk_dispatch_event ev{};

		route.timeout_ms = 1500;
		route.target_ms = 200;
		route.attempts = 3;
		route.stretch = 1600;
		std::strcpy(route.host, "h");
		std::strcpy(route.prefix, "/");
		std::strcpy(route.pool, "pool-a");
		routing.version = 1;
		routing.nroutes = 1;
		routing.routes = &route;
		ev.type = MLK_DISPATCH_ROUTES;
		ev.u.routes = &routing;
		apply_entry(i, ev);
	}

	void
	announce(int i)
	{
		mlk_runner_event ev{};
		mlk_announcement announcement;

		fake_worker_announce(
		    &n[i].worker, ++n[i].announced, &announcement);
		std::strcpy(announcement.info.pool, "pool-a");
		ev.type = MLK_RUNNER_ANNOUNCED;
		ev.u.announced = &announcement;
		apply_agent(i, ev);
	}

	void
	check_version(int i, uint64_t version)
	{
		if (version < n[i].version)
			violated("version", i);
		n[i].version = version;
		if (version >= history.size())
			violated("set", i);
	}

	void
	apply_entry(int i, mlk_dispatch_event &ev)
	{
		mlk_dispatch_effects fx{};
		mlk_evacuation_report report;
		mlk_error err{};

		ev.now = now * ms_ns;
		if (mlk_dispatcher_apply(n[i].d, &ev, &fx, &err) != 0)
			violated("applied", i);
		mlk_dispatcher_evacuations(n[i].d, &report);
		check_version(i, report.version);
		if (violation.empty()) {
			const auto &rows = history[report.version];
			if (report.n != rows.size())
				violated("set", i);
			for (uint32_t k = 0; k < report.n; k++) {
				const auto r = rows.find(report.items[k].dc);
				if (r == rows.end() ||
				    r->second != report.items[k].version)
					violated("set", i);
			}
		}
		mlk_evacuation_report_clear(&report);
		for (size_t k = 0; k < fx.n; k++)
			entry_effect(i, fx.items[k]);
		mlk_dispatch_effects_free(&fx);
	}

	void
	entry_effect(int i, mlk_dispatch_effect &fx)
	{
		if (fx.type == MLK_DISPATCH_FX_SEND) {
			send(i, fx.u.send.link, fx.u.send.msg);
		} else if (fx.type == MLK_DISPATCH_FX_CONNECT) {
			connects.push_back({ i, n[i].life,
			    fx.u.connect.connect, node_at(fx.u.connect.addr) });
		} else if (fx.type == MLK_DISPATCH_FX_CLOSE) {
			close_id(i, fx.u.close.link);
		}
	}

	void
	apply_agent(int i, mlk_runner_event &ev)
	{
		mlk_runner_effects fx{};
		struct mlk_runner_gauges g;
		mlk_error err{};

		ev.now = now * ms_ns;
		if (mlk_runner_apply(n[i].r, &ev, &fx, &err) != 0)
			violated("applied", i);
		mlk_runner_gauges(n[i].r, &g);
		check_version(i, g.evacuations_version);
		for (size_t k = 0; k < fx.n; k++)
			agent_effect(i, fx.items[k]);
		mlk_runner_effects_free(&fx);
	}

	void
	agent_effect(int i, mlk_runner_effect &fx)
	{
		const bool gone = evacuated(i, dc_of(i));

		if (fx.type == MLK_RUNNER_FX_SEND) {
			const mlk_msg &m = fx.u.send.msg;
			if (gone &&
			    (m.type == MLK_MSG_OFFER ||
				(m.type == MLK_MSG_WORKER &&
				    m.u.worker.load.free.cpu != 0)))
				violated("start", i);
			send(i, fx.u.send.link, fx.u.send.msg);
		} else if (fx.type == MLK_RUNNER_FX_CONNECT) {
			connects.push_back({ i, n[i].life,
			    fx.u.connect.connect, node_at(fx.u.connect.addr) });
		} else if (fx.type == MLK_RUNNER_FX_CLOSE) {
			close_id(i, fx.u.close.link);
		} else if (fx.type == MLK_RUNNER_FX_ORDER) {
			if (gone && fx.u.order.type == MLK_ORDER_START)
				violated("start", i);
			n[i].orders.push_back(fx.u.order);
			/* The effect owns the spec. */
			n[i].orders.back().spec = {};
		}
	}

	/* ---- links ------------------------------------------------------ */

	static int
	node_at(const char *addr)
	{
		return std::atoi(std::strrchr(addr, '.') + 1) - 1;
	}

	void
	send(int i, uint32_t id, mlk_msg &msg)
	{
		for (auto &l : links) {
			if (l.id != id)
				continue;
			const int to = l.end[0] == i ? 1 : 0;
			if (l.end[to] >= entries && i < entries &&
			    msg.type == MLK_MSG_RUN &&
			    evacuated(i, dc_of(l.end[to])))
				violated("placement", i);
			/* The effect owns a message that is not queued. */
			if (!l.open[to])
				return;
			l.queue[to].push_back(msg);
			msg = {};
			return;
		}
	}

	void
	close(link &l, int k)
	{
		l.open[k] = false;
		clear(l.queue[k]);
	}

	void
	close_id(int i, uint32_t id)
	{
		for (auto &l : links) {
			if (l.id == id)
				close(l, l.end[0] == i ? 0 : 1);
		}
	}

	void
	link_event(int i, bool up, uint32_t id, uint32_t connect_id)
	{
		if (i < entries) {
			mlk_dispatch_event ev{};
			ev.type = up ? MLK_DISPATCH_LINK_UP :
				       MLK_DISPATCH_LINK_DOWN;
			ev.u.link.link = id;
			ev.u.link.connect = connect_id;
			apply_entry(i, ev);
			return;
		}
		mlk_runner_event ev{};
		ev.type = up ? MLK_RUNNER_LINK_UP : MLK_RUNNER_LINK_DOWN;
		ev.u.link.link = id;
		ev.u.link.connect = connect_id;
		apply_agent(i, ev);
	}

	void
	deliver_one(link &l, int k)
	{
		if (cut[l.end[0]][l.end[1]] || !l.open[k] ||
		    l.queue[k].empty())
			return;
		mlk_msg msg = l.queue[k].front();
		l.queue[k].pop_front();
		if (l.end[k] < entries) {
			mlk_dispatch_event ev{};
			ev.type = MLK_DISPATCH_MSG;
			ev.u.msg.link = l.id;
			ev.u.msg.msg = &msg;
			apply_entry(l.end[k], ev);
		} else {
			mlk_runner_event ev{};
			ev.type = MLK_RUNNER_MSG;
			ev.u.msg.link = l.id;
			ev.u.msg.msg = &msg;
			apply_agent(l.end[k], ev);
		}
		mlk_msg_clear(&msg);
	}

	/* Delivers what is in the queues now, and the ends of closed links. */
	void
	deliver_all()
	{
		const size_t count = links.size();

		for (size_t i = 0; i < count; i++) {
			link &l = links[i];
			for (int k = 0; k < 2; k++) {
				for (size_t m = l.queue[k].size(); m > 0; m--)
					deliver_one(l, k);
				if (l.open[k] && !l.open[1 - k] &&
				    !cut[l.end[0]][l.end[1]]) {
					close(l, k);
					link_event(l.end[k], false, l.id, 0);
				}
			}
		}
		while (!links.empty() && !links.front().open[0] &&
		    !links.front().open[1])
			links.pop_front();
	}

	void
	connect_all()
	{
		std::vector<connect> due;

		due.swap(connects);
		for (const auto &c : due) {
			if (n[c.from].life != c.life)
				continue;
			if (cut[c.from][c.to]) {
				link_event(c.from, false, 0, c.id);
				continue;
			}
			links.push_back({ ++last_link, { c.from, c.to },
			    { true, true }, {} });
			const uint32_t id = last_link;
			link_event(c.to, true, id, 0);
			link_event(c.from, true, id, c.id);
		}
	}

	/* ---- time ------------------------------------------------------- */

	void
	run_orders(int i)
	{
		const mlk_resources task{ 8000, 64, 0 };
		std::deque<mlk_order> due;
		mlk_runner_event ev{};

		due.swap(n[i].orders);
		for (const auto &o : due) {
			if (n[i].order_fault != 1)
				fake_worker_order(
				    &n[i].worker, &o, &task, 60, &ev);
			if (n[i].order_fault != 0) {
				ev = {};
				ev.type = MLK_RUNNER_ORDER;
				ev.u.order.order = o.order;
				ev.u.order.result = MLK_ORDER_NO_ANSWER;
			}
			apply_agent(i, ev);
		}
	}

	void
	submit(int i)
	{
		static const uint8_t spec[] = "spec";
		mlk_dispatch_event ev{};
		mlk_step step{};
		mlk_work work{};

		step.count = 3;
		step.resources = { 8000, 64, 0 };
		step.estimate_ms = 60;
		work.spec = spec;
		work.spec_len = 4;
		work.nsteps = 1;
		work.steps = &step;
		ev.type = MLK_DISPATCH_SUBMIT;
		ev.u.submit.request = ++last_request;
		std::snprintf(work.id, sizeof(work.id), "%016llx",
		    static_cast<unsigned long long>(last_request));
		ev.u.submit.request_id = "r";
		ev.u.submit.host = "h";
		ev.u.submit.path = "/";
		ev.u.submit.work = &work;
		apply_entry(i, ev);
	}

	void
	tick(int callers)
	{
		now += tick_ms;
		connect_all();
		deliver_all();
		for (int i = 0; i < nodes && violation.empty(); i++) {
			if (i < entries) {
				mlk_dispatch_event ev{};
				ev.type = MLK_DISPATCH_TICK;
				apply_entry(i, ev);
				if ((callers >> i & 1) != 0)
					store_step(n[i]);
				continue;
			}
			fake_worker_advance(&n[i].worker, now);
			run_orders(i);
			mlk_runner_event ev{};
			ev.type = MLK_RUNNER_TICK;
			apply_agent(i, ev);
			if (now % 500 == 0)
				announce(i);
		}
		submit(static_cast<int>(now / tick_ms % entries));
		deliver_all();
	}
};

} // namespace

int
main()
{
	const bool ok = rc::check("evacuations under faults", [] {
		const auto count =
		    *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 60));
		const auto ops = *rc::gen::resize(rc::kNominalSize,
		    rc::gen::container<std::vector<op>>(count,
			rc::gen::build<op>(
			    rc::gen::set(&op::kind,
				rc::gen::inRange(0, int(OP_KINDS))),
			    rc::gen::set(&op::a, rc::gen::inRange(0, 12)),
			    rc::gen::set(&op::b, rc::gen::inRange(0, 12)))));
		const auto reader = *rc::gen::inRange(0, entries);
		const auto lead = *rc::gen::element(0, 15);
		world w;
		for (const auto &o : ops) {
			if (w.violation.empty())
				w.apply(o);
		}
		if (w.violation.empty())
			w.settle(reader, lead);
		if (!w.violation.empty())
			std::printf("%s\n", w.violation.c_str());
		RC_ASSERT(w.violation.empty());
	});
	return ok ? 0 : 1;
}
