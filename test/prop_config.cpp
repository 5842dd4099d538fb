/*
 * Property test of confirms and of the propagation of configuration versions.
 * Runs three entry reducers against a fake table service, through the encoding
 * that the daemons use.  Links fail, the table service fails or its replies
 * are lost, and entries restart, in any order.
 *
 * With the argument "expect-fault" the program succeeds if a property fails;
 * the builds with a mutated source use it.
 */
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include <monsoonlock/core.h>
#include <monsoonlock/platform.h>
#include <table.h>
}

namespace {

constexpr int ENTRIES = 3;
constexpr int64_t TICK_NS = MLK_TICK_MS * MLK_NSEC_PER_MSEC;
constexpr int TICKS_MAX = 30; /* in one command */
constexpr int SETTLE_TICKS = 2000; /* 20 s, limit for convergence */
constexpr uint64_t EVENTS_MIN = 100000; /* in a run that passes */

uint64_t events; /* applied in all cases */

struct Plan {
	mlk_key digest;
	uint64_t base; /* version */
	mlk_change change;
};

struct Link {
	bool open;
	int end[2]; /* entries */
	uint32_t id[2]; /* of the link at each end */
	std::deque<mlk_msg> queue[2]; /* messages to each end */
};

struct StoreCall {
	int entry;
	uint64_t incarnation; /* of the entry when it made the call */
	mlk_store_op op;
};

std::string
hex(mlk_key key)
{
	char text[MLK_KEY_HEX_LEN + 1];

	mlk_key_format(key, text);
	return text;
}

/* DOWN: calls have no effect; LOSE_REPLIES: only the replies are lost. */
enum class StoreMode { UP, DOWN, LOSE_REPLIES };

/* The entries, the links between them and the table, under simulated time. */
class World {
      public:
	World();
	~World();
	void command(uint32_t word);
	void settle();

      private:
	void start(int i);
	void restart(int i);
	void apply(int i, mlk_event *ev);
	void perform_effect(int i, mlk_effect *fx);
	void connect(int i, uint32_t connect, const char *addr);
	void link_event(int i, mlk_event_type type, uint32_t link, uint32_t id);
	void close(Link *link);
	void disconnect(Link *link);
	bool deliver(uint32_t pick);
	bool run_store_call(uint32_t pick);
	void plan(int i, uint32_t pick);
	void confirm(int i, uint32_t pick);
	void reply(const mlk_admin_reply *reply, uint64_t request);
	void run_ticks(int n);
	void check_audits();
	void check_version(int i);
	json_t *transact(const char *text);

	table *store_table = table_create();
	mlk_entry *entry[ENTRIES] = {};
	uint64_t incarnation[ENTRIES] = {};
	uint64_t version[ENTRIES] = {}; /* of the configuration */
	mlk_effects fx = {};
	std::vector<Link *> links;
	std::deque<StoreCall> store_calls;
	std::vector<Plan> plans;
	std::set<std::string> confirmed; /* digests */
	std::map<std::string, uint64_t> answered_versions; /* by digest */
	std::map<uint64_t, std::string> audits; /* version -> digest */
	std::map<uint64_t, Plan> confirm_requests; /* by request id */
	std::deque<std::pair<int, mlk_effect>> pending_effects;
	bool unreachable[ENTRIES][ENTRIES] = {};
	StoreMode store_mode = StoreMode::UP;
	uint64_t next_request = 1;
	uint32_t next_link = 1;
	int64_t now = MLK_NSEC_PER_SEC;
	int64_t wall = 1000000;
	bool applying = false;
};

World::World()
{
	for (int i = 0; i < ENTRIES; i++)
		start(i);
}

World::~World()
{
	for (auto *link : links) {
		for (auto &queue : link->queue)
			for (auto &msg : queue)
				mlk_msg_clear(&msg);
		delete link;
	}
	for (auto &call : store_calls)
		mlk_store_op_clear(&call.op);
	mlk_effects one = {};
	for (auto &item : pending_effects) {
		one.items = &item.second;
		one.n = 1;
		mlk_effects_clear(&one);
	}
	for (auto *e : entry)
		mlk_entry_destroy(e);
	mlk_effects_free(&fx);
	table_destroy(store_table);
}

/* Creates an entry with the next incarnation. */
void
World::start(int i)
{
	mlk_entry_options options = {};
	char peers[ENTRIES - 1][MLK_ADDR_MAX];
	int n = 0;

	mlk_entry_options_default(&options);
	incarnation[i]++;
	(void)snprintf(options.self.id, MLK_NAME_MAX, "e%d", i);
	(void)snprintf(options.self.dc, MLK_NAME_MAX, "dc");
	(void)snprintf(options.self.addr, MLK_ADDR_MAX, "127.0.0.1:%d", i + 1);
	options.self.incarnation = incarnation[i];
	options.seed = static_cast<uint64_t>(i);
	for (int j = 0; j < ENTRIES; j++)
		if (j != i)
			(void)snprintf(
			    peers[n++], MLK_ADDR_MAX, "127.0.0.1:%d", j + 1);
	options.npeers = ENTRIES - 1;
	options.peers = peers;
	entry[i] = mlk_entry_create(&options);
	version[i] = 0;
}

/*
 * Restarts an entry.  Its state and the messages on its links are lost; its
 * outstanding calls to the table still take effect.
 */
void
World::restart(int i)
{
	std::vector<std::pair<int, uint32_t>> disconnected;

	for (auto *link : links)
		for (int end = 0; end < 2; end++)
			if (link->open && link->end[1 - end] == i)
				disconnected.emplace_back(
				    link->end[end], link->id[end]);
	for (auto *link : links)
		if (link->end[0] == i || link->end[1] == i)
			close(link);
	mlk_entry_destroy(entry[i]);
	start(i);
	for (auto &peer : disconnected)
		link_event(peer.first, MLK_EV_LINK_DOWN, peer.second, 0);
}

/* Closes a link and drops its messages, without events. */
void
World::close(Link *link)
{
	link->open = false;
	for (auto &queue : link->queue) {
		for (auto &msg : queue)
			mlk_msg_clear(&msg);
		queue.clear();
	}
}

/*
 * Applies one event, then performs its effects.  Events that these cause are
 * applied by nested calls, whose effects are queued and performed by the
 * outermost call.
 */
void
World::apply(int i, mlk_event *ev)
{
	mlk_error err;

	ev->now = now;
	ev->wall = wall;
	events++;
	RC_ASSERT(mlk_entry_apply(entry[i], ev, &fx, &err) == 0);
	for (size_t k = 0; k < fx.n; k++)
		pending_effects.emplace_back(i, fx.items[k]);
	fx.n = 0;
	check_version(i);
	if (applying)
		return;
	applying = true;
	while (!pending_effects.empty()) {
		auto item = pending_effects.front();
		pending_effects.pop_front();
		perform_effect(item.first, &item.second);
		mlk_effects one = {};
		one.items = &item.second;
		one.n = 1;
		mlk_effects_clear(&one);
	}
	applying = false;
}

void
World::perform_effect(int i, mlk_effect *f)
{
	switch (f->type) {
	case MLK_FX_SEND:
		for (auto *link : links)
			for (int end = 0; end < 2; end++)
				if (link->open && link->end[end] == i &&
				    link->id[end] == f->u.send.link) {
					link->queue[1 - end].push_back(
					    f->u.send.msg);
					memset(&f->u.send.msg, 0,
					    sizeof(f->u.send.msg));
					return;
				}
		break;
	case MLK_FX_CONNECT:
		connect(i, f->u.connect.connect, f->u.connect.addr);
		break;
	case MLK_FX_CLOSE_LINK:
		for (auto *link : links)
			for (int end = 0; end < 2; end++)
				if (link->open && link->end[end] == i &&
				    link->id[end] == f->u.close.link) {
					disconnect(link);
					return;
				}
		break;
	case MLK_FX_STORE:
		store_calls.push_back({ i, incarnation[i], f->u.store });
		memset(&f->u.store, 0, sizeof(f->u.store));
		break;
	case MLK_FX_REPLY_ADMIN:
		reply(&f->u.admin.reply, f->u.admin.request);
		break;
	default:
		break;
	}
}

void
World::link_event(int i, mlk_event_type type, uint32_t link, uint32_t id)
{
	mlk_event ev = {};

	ev.type = type;
	ev.u.link.link = link;
	ev.u.link.connect = id;
	apply(i, &ev);
}

/*
 * Connects an entry to the one with that address, or reports LINK_DOWN when it
 * is unreachable.
 */
void
World::connect(int i, uint32_t id, const char *addr)
{
	int j = atoi(strchr(addr, ':') + 1) - 1;

	if (unreachable[i][j] || i == j) {
		link_event(i, MLK_EV_LINK_DOWN, MLK_LINK_NONE, id);
		return;
	}
	auto *link = new Link{ true, { i, j }, { next_link, next_link + 1 },
		{ {}, {} } };
	next_link += 2;
	links.push_back(link);
	link_event(i, MLK_EV_LINK_UP, link->id[0], id);
	link_event(j, MLK_EV_LINK_UP, link->id[1], 0);
}

/* Closes a link and reports LINK_DOWN at both ends. */
void
World::disconnect(Link *link)
{
	close(link);
	for (int end = 0; end < 2; end++)
		link_event(link->end[end], MLK_EV_LINK_DOWN, link->id[end], 0);
}

/*
 * Delivers the oldest message of one direction of one link; `pick` selects
 * where to look first.  Returns false when no message is in flight.
 */
bool
World::deliver(uint32_t pick)
{
	size_t n = links.size() * 2;

	for (size_t k = 0; k < n; k++) {
		size_t at = (pick + k) % n;
		auto *link = links[at / 2];
		auto &queue = link->queue[at % 2];
		if (!link->open || queue.empty())
			continue;
		mlk_msg msg = queue.front();
		queue.pop_front();
		mlk_event ev = {};
		ev.type = MLK_EV_MSG;
		ev.u.msg.link = link->id[at % 2];
		ev.u.msg.msg = &msg;
		apply(link->end[at % 2], &ev);
		mlk_msg_clear(&msg);
		return true;
	}
	return false;
}

/* Applies a transaction in JSON to the table and returns its result. */
json_t *
World::transact(const char *text)
{
	json_t *txn = table_parse(text, strlen(text));
	json_t *result;

	RC_ASSERT(txn != nullptr);
	result = table_apply(store_table, txn);
	json_decref(txn);
	return result;
}

/*
 * Runs one of the outstanding calls to the table and delivers the reply, if
 * the entry has not restarted since.  A lost reply is reported as UNAVAILABLE.
 * Returns false when there is no call.
 */
bool
World::run_store_call(uint32_t pick)
{
	if (store_calls.empty())
		return false;
	size_t at = pick % store_calls.size();
	StoreCall call = store_calls[at];
	store_calls.erase(store_calls.begin() + static_cast<long>(at));
	mlk_store_view view = {};
	mlk_event ev = {};
	mlk_error err;
	char *body = nullptr, *answer = nullptr;

	RC_ASSERT(mlk_platform_encode(&call.op, &body, &err) == 0);
	if (store_mode != StoreMode::DOWN) {
		json_t *result = transact(body);
		answer = json_dumps(result, JSON_COMPACT);
		json_decref(result);
		check_audits();
	}
	bool lost = store_mode != StoreMode::UP;
	ev.type = MLK_EV_STORE;
	ev.u.store.type = call.op.type;
	ev.u.store.id = call.op.id;
	RC_ASSERT(mlk_platform_decode(&call.op, lost ? 0 : 200,
		      reinterpret_cast<const uint8_t *>(answer),
		      lost ? 0 : strlen(answer), &ev.u.store.status, &view,
		      &err) == 0);
	free(body);
	free(answer);
	if (ev.u.store.status != MLK_STORE_UNAVAILABLE)
		ev.u.store.view = &view;
	if (call.incarnation == incarnation[call.entry])
		apply(call.entry, &ev);
	mlk_store_view_clear(&view);
	mlk_store_op_clear(&call.op);
	return true;
}

/*
 * Checks that the audit trail has exactly one record per version, that each
 * belongs to a confirmed plan and no two to the same plan, and that no record
 * is changed or removed.
 */
void
World::check_audits()
{
	json_t *result = transact("{\"conditions\":[],\"writes\":[],"
				  "\"reads\":[\"audit/*\",\"config\"]}");
	std::map<uint64_t, std::string> found;
	uint64_t current = 0;
	const json_t *row, *value;
	size_t k;

	json_array_foreach(json_object_get(result, "rows"), k, row)
	{
		value = json_object_get(row, "value");
		uint64_t v = static_cast<uint64_t>(
		    json_integer_value(json_object_get(value, "version")));
		const char *digest =
		    json_string_value(json_object_get(value, "digest"));
		if (strcmp(json_string_value(json_object_get(row, "key")),
			"config") == 0)
			current = v;
		else
			found[v] = digest;
	}
	json_decref(result);
	std::set<std::string> digests;
	for (auto &record : found) {
		RC_ASSERT(confirmed.count(record.second) == 1);
		RC_ASSERT(digests.insert(record.second).second);
	}
	RC_ASSERT(found.size() == current);
	bool newest = current == 0 || found.rbegin()->first == current;
	RC_ASSERT(newest);
	for (auto &record : audits)
		RC_ASSERT(found.at(record.first) == record.second);
	audits = found;
}

/*
 * Checks that the configuration version of the entry does not decrease and has
 * an audit record.
 */
void
World::check_version(int i)
{
	struct mlk_entry_gauges gauges;

	mlk_entry_gauges(entry[i], &gauges);
	RC_ASSERT(gauges.config_version >= version[i]);
	if (gauges.config_version > 0)
		RC_ASSERT(audits.count(gauges.config_version) == 1);
	version[i] = gauges.config_version;
}

/* Requests a plan from an entry; `pick` selects the operator and the change. */
void
World::plan(int i, uint32_t pick)
{
	mlk_admin_request admin = {};
	mlk_event ev = {};
	mlk_intent *in = &admin.change.intent;

	admin.type = MLK_ADMIN_PLAN;
	(void)snprintf(admin.operator_name, MLK_NAME_MAX, "o%u", pick % 2);
	memcpy(in->author, admin.operator_name, MLK_NAME_MAX);
	in->type = pick % 3 == 0 ? MLK_INTENT_LONG_CAP : MLK_INTENT_TEAM_WEIGHT;
	if (in->type == MLK_INTENT_TEAM_WEIGHT)
		(void)snprintf(in->subject, MLK_NAME_MAX, "t%u", pick % 4);
	in->value = 300 + static_cast<int32_t>(pick % 100);
	ev.type = MLK_EV_ADMIN;
	ev.u.admin.request = next_request++;
	ev.u.admin.admin = &admin;
	apply(i, &ev);
}

/*
 * Confirms one of the last four plans, which may be stale or already
 * confirmed.
 */
void
World::confirm(int i, uint32_t pick)
{
	mlk_admin_request admin = {};
	mlk_event ev = {};

	if (plans.empty())
		return;
	size_t age = pick % (plans.size() < 4 ? plans.size() : 4);
	const Plan &p = plans[plans.size() - 1 - age];
	admin.type = MLK_ADMIN_CONFIRM;
	memcpy(admin.operator_name, p.change.intent.author, MLK_NAME_MAX);
	admin.change = p.change;
	admin.base_version = p.base;
	admin.digest = p.digest;
	confirmed.insert(hex(p.digest));
	ev.type = MLK_EV_ADMIN;
	ev.u.admin.request = next_request;
	ev.u.admin.admin = &admin;
	confirm_requests[next_request++] = p;
	apply(i, &ev);
}

/*
 * Keeps the plan of a reply, also when it comes with a conflict.  Checks that
 * a successful confirm reports the version after its base version, and the
 * same one when it is repeated.
 */
void
World::reply(const mlk_admin_reply *r, uint64_t request)
{
	if (r->plan != nullptr)
		plans.push_back({ r->plan->digest, r->plan->base_version,
		    r->plan->change });
	if (r->type != MLK_ADMIN_CONFIRM || r->code != 0)
		return;
	const Plan &p = confirm_requests.at(request);
	RC_ASSERT(r->config_version == p.base + 1);
	RC_ASSERT(audits.at(r->config_version) == hex(p.digest));
	uint64_t &known = answered_versions[hex(p.digest)];
	bool same = known == 0 || known == r->config_version;
	RC_ASSERT(same);
	known = r->config_version;
}

void
World::run_ticks(int n)
{
	for (int k = 0; k < n; k++) {
		now += TICK_NS;
		if (now % MLK_NSEC_PER_SEC < TICK_NS)
			wall++;
		for (int i = 0; i < ENTRIES; i++) {
			mlk_event ev = {};
			ev.type = MLK_EV_TICK;
			apply(i, &ev);
		}
	}
}

/*
 * Executes one command of the generated case: the low four bits of the word
 * select the command, the other bits its parameters.
 */
void
World::command(uint32_t word)
{
	uint32_t pick = word / 16;
	int i = static_cast<int>(pick % ENTRIES);
	int j = static_cast<int>((pick / ENTRIES) % ENTRIES);

	switch (word % 16) {
	case 0:
	case 1:
		plan(i, pick / ENTRIES);
		break;
	case 2:
	case 3:
	case 4:
		confirm(i, pick / ENTRIES);
		break;
	case 5:
		store_mode = pick % 2 == 0 ? StoreMode::UP :
		    pick % 4 == 1          ? StoreMode::DOWN :
					     StoreMode::LOSE_REPLIES;
		break;
	case 6:
		restart(i);
		break;
	case 7:
		unreachable[i][j] = unreachable[j][i] = pick % 2 == 0;
		for (size_t k = 0; unreachable[i][j] && k < links.size(); k++)
			if (links[k]->open &&
			    (links[k]->end[0] == i || links[k]->end[1] == i) &&
			    (links[k]->end[0] == j || links[k]->end[1] == j))
				disconnect(links[k]);
		break;
	case 8:
	case 9:
	case 10:
		(void)deliver(pick);
		break;
	case 11:
	case 12:
		(void)run_store_call(pick);
		break;
	default:
		for (uint32_t k = 0; k < pick % 8; k++) {
			(void)run_store_call(0);
			(void)deliver(0);
		}
		run_ticks(static_cast<int>(pick % TICKS_MAX));
		break;
	}
}

/*
 * Ends all faults and checks that every entry reaches the newest version.
 */
void
World::settle()
{
	store_mode = StoreMode::UP;
	memset(unreachable, 0, sizeof(unreachable));
	for (int k = 0; k < SETTLE_TICKS; k++) {
		while (run_store_call(0) || deliver(0))
			;
		run_ticks(1);
		bool all = true;
		for (auto v : version)
			all = all && v == audits.size();
		if (all && k > SETTLE_TICKS / 4)
			return;
	}
	for (auto v : version)
		RC_ASSERT(v == audits.size());
}

} // namespace

int
main(int argc, char **argv)
{
	bool expect_fault = argc > 1 && strcmp(argv[1], "expect-fault") == 0;
	bool ok;

	ok = rc::check("versions and audit records", [&] {
		auto words = *rc::gen::container<std::vector<uint32_t>>(
		    rc::gen::inRange<uint32_t>(0, 1U << 24));
		World world;
		for (auto word : words)
			world.command(word);
		world.settle();
	});
	(void)printf("%llu events\n", static_cast<unsigned long long>(events));
	if (expect_fault)
		return ok ? 1 : 0;
	return ok && events >= EVENTS_MIN ? 0 : 1;
}
