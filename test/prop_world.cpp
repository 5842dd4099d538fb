/*
 * The simulation of prop_world.hpp, and the properties that it checks after
 * every event.
 */
#include <cstdlib>
#include <cstring>

#include "prop_world.hpp"

extern "C" {
#include <monsoonlock/platform.h>
}

static constexpr int64_t TICK = MLK_TICK_MS * MS;
static constexpr int64_t WALL_START = 1700000000;
static constexpr int64_t STORE_TIMEOUT = 2000 * MS; /* of an HTTP call */
static constexpr int64_t QUIESCE_MAX = 90000 * MS;

Stats stats;

[[noreturn]] void
World::violated(const std::string &property, const std::string &what) const
{
	std::string text = "violated: " + property + ": " + what;

	for (const std::string &line : trace_)
		text += "\n" + line;
	throw Violation(text);
}

void
World::trace(const Proc *p, const std::string &what)
{
	char head[64];

	std::snprintf(head, sizeof(head), "%9.3f %s: ", (double)now_ / 1e9,
	    p->id.c_str());
	trace_.push_back(head + what);
	if (trace_.size() > 150)
		trace_.pop_front();
}

template <size_t N>
static void
copy_text(char (&out)[N], const std::string &text)
{
	std::strncpy(out, text.c_str(), N - 1);
}

uint64_t
Job::started() const
{
	uint64_t mask = 0;

	for (size_t i = 0; i < tasks.size(); i++)
		mask |= tasks[i].starts > 0 ? 1ULL << i : 0;
	return (mask);
}

/* ---- processes ------------------------------------------------------- */

World::World(uint64_t seed, bool reliable) :
    reliable_(reliable), now_(1000 * MS), table_(table_create())
{
	mlk_rng_seed(&rng_, seed);
	for (unsigned i = 0; i < PROCS; i++) {
		procs_[i].is_entry = i < ENTRIES;
		procs_[i].id = "e" + std::to_string(i);
		procs_[i].addr = "10.0.0." + std::to_string(i + 1) + ":7000";
		start(&procs_[i], !procs_[i].is_entry);
	}
}

World::~World()
{
	for (Proc &p : procs_) {
		mlk_entry_destroy(p.entry);
		mlk_agent_destroy(p.agent);
	}
	table_destroy(table_);
}

void
World::schedule(int64_t when, std::function<void()> action)
{
	actions_.emplace(std::max(when, now_), std::move(action));
}

/* Runs an action of a process, or defers it while the process is paused. */
void
World::post(Proc *p, uint64_t generation, std::function<void()> action)
{
	if (!p->alive || p->generation != generation)
		return;
	if (p->paused)
		p->deferred.push_back(std::move(action));
	else
		action();
}

void
World::start(Proc *p, bool new_id)
{
	static char addrs[ENTRIES][MLK_ADDR_MAX];

	if (p->alive)
		return;
	for (unsigned i = 0; i < ENTRIES; i++)
		copy_text(addrs[i], procs_[i].addr);
	if (new_id)
		p->id = "a" + std::to_string(next_agent_++);
	p->generation = ++last_generation_;
	p->alive = true;
	trace(p, "starts as a process");
	p->paused = p->stopping = false;
	p->config_version = 0;
	if (p->is_entry) {
		mlk_entry_options o;

		mlk_entry_options_default(&o);
		copy_text(o.self.id, p->id);
		copy_text(o.self.addr, p->addr);
		copy_text(o.self.dc, "dc1");
		o.self.incarnation = p->generation;
		o.seed = p->generation;
		o.max_queued = reliable_ ? 2400 : 24;
		o.max_jobs = reliable_ ? 6400 : 64;
		o.npeers = ENTRIES;
		o.peers = addrs;
		p->entry = mlk_entry_create(&o);
	} else {
		mlk_agent_options o;

		mlk_agent_options_default(&o);
		copy_text(o.id, p->id);
		copy_text(o.dc, "dc1");
		o.slots = reliable_ ? 8 : 2;
		o.nentries = ENTRIES;
		o.entries = addrs;
		p->agent = mlk_agent_create(&o);
	}
}

/* Ends a process; its peers see the links close after their delays. */
void
World::terminate(Proc *p)
{
	p->alive = false;
	p->generation = ++last_generation_;
	p->deferred.clear();
	p->slots.clear();
	mlk_entry_destroy(p->entry);
	mlk_agent_destroy(p->agent);
	p->entry = nullptr;
	p->agent = nullptr;
	for (auto &it : links_) {
		for (unsigned s = 0; s < 2; s++) {
			if (it.second->end[s] != p || !it.second->up[s])
				continue;
			it.second->up[s] = false;
			auto fin = std::make_unique<Msg>();
			fin->closes = true;
			enqueue(it.second.get(), s, std::move(fin));
		}
	}
}

/*
 * Kills a process and restarts it after down_ns; an agent gets a new id if
 * new_id is set.
 */
void
World::kill(unsigned n, bool entry, int64_t down_ns, bool new_id)
{
	Proc *p = pick(n / 2, entry, n % 2 == 0);

	if (!p->alive)
		return;
	stats[p->is_entry ? "entries killed" :
		  new_id  ? "agents replaced" :
			    "agents killed"]++;
	trace(p, "killed");
	terminate(p);
	if (p->is_entry)
		resubmit_lost(p);
	schedule(now_ + down_ns, [this, p, new_id] { start(p, new_id); });
}

/* Three of four callers whose entry died submit the same job again. */
void
World::resubmit_lost(const Proc *p)
{
	for (size_t i = 0, n = requests_.size(); i < n; i++) {
		const Request &r = requests_[i];
		if (r.proc != p || r.lost || r.answers > 0 || r.disconnected ||
		    r.type != RequestType::Submit || below(4) == 0)
			continue;
		requests_[i].lost = true;
		Job *job = r.job;
		schedule(now_ + below(3000) * MS, [this, job] {
			Proc *entry = next_live_entry(below(ENTRIES));
			if (entry != nullptr)
				submit_job(entry, job, true);
		});
	}
}

/*
 * Returns the nth entry or agent.  With busy, prefers the entry that sent the
 * latest START, or an agent that runs tasks.
 */
Proc *
World::pick(unsigned n, bool entry, bool busy)
{
	Proc *p = &procs_[entry ? n % ENTRIES : ENTRIES + n % AGENTS];

	if (busy && entry && last_sender_ != nullptr)
		return (last_sender_);
	for (unsigned i = 0; busy && !entry && i < AGENTS; i++) {
		Proc *other = &procs_[ENTRIES + (n + i) % AGENTS];
		if (!other->slots.empty())
			return (other);
	}
	return (p);
}

void
World::pause(unsigned n, int64_t ns)
{
	Proc *p = pick(n / 4, n % 4 == 0, n % 4 < 2);
	uint64_t generation = p->generation;

	if (!p->alive || p->paused)
		return;
	stats["pauses"]++;
	trace(p, "paused for ms " + std::to_string(ns / MS));
	p->paused = true;
	schedule(now_ + ns, [this, p, generation] {
		if (!p->alive || p->generation != generation || !p->paused)
			return;
		p->paused = false;
		auto deferred = std::move(p->deferred);
		p->deferred.clear();
		for (auto &action : deferred)
			post(p, generation, std::move(action));
	});
}

void
World::stop(unsigned n)
{
	Proc *p = &procs_[n % PROCS];

	if (!p->alive || p->stopping)
		return;
	stats["planned stops"]++;
	p->stopping = true;
	post(p, p->generation, [this, p] {
		mlk_event ev{};

		ev.type = MLK_EV_STOP;
		apply(p, ev);
	});
}

/* Applies EXIT: the process ends, and restarts within 3 s. */
void
World::exited(Proc *p)
{
	for (const Request &r : requests_) {
		if (r.proc == p && r.generation == p->generation &&
		    !r.disconnected && r.answers == 0)
			violated("answers before exit",
			    p->id + " left a request without an answer");
	}
	stats["exits"]++;
	terminate(p);
	schedule(now_ + below(3000) * MS, [this, p] { start(p, false); });
}

void
World::apply(Proc *p, mlk_event &ev, const Msg *cause)
{
	mlk_effects fx{};
	mlk_error err{};
	uint64_t version;
	bool exit = false;
	size_t i;
	int rc;

	stats[ev.type == MLK_EV_TICK ? "ticks" : "events"]++;
	ev.now = now_;
	ev.wall = WALL_START + now_ / MLK_NSEC_PER_SEC;
	rc = p->is_entry ? mlk_entry_apply(p->entry, &ev, &fx, &err) :
			   mlk_agent_apply(p->agent, &ev, &fx, &err);
	std::unique_ptr<mlk_effects, void (*)(mlk_effects *)> guard(
	    &fx, mlk_effects_free);
	if (rc != 0)
		violated("events apply", err.msg);
	for (i = 0; i < fx.n; i++) {
		if (fx.items[i].type == MLK_FX_EXIT)
			exit = true;
		else
			apply_effect(p, &fx.items[i], cause);
	}
	if (ev.type == MLK_EV_MSG || ev.type == MLK_EV_STORE) {
		if (p->is_entry) {
			struct mlk_entry_gauges g;
			mlk_entry_gauges(p->entry, &g);
			version = g.config_version;
		} else {
			struct mlk_agent_gauges g;
			mlk_agent_gauges(p->agent, &g);
			version = g.config_version;
		}
		if (version < p->config_version)
			violated("configuration never falls", p->id);
		p->config_version = version;
	}
	if (exit)
		exited(p);
}

void
World::apply_effect(Proc *p, mlk_effect *fx, const Msg *cause)
{
	uint64_t generation = p->generation;
	unsigned side = 0;
	uint32_t slot;
	Link *l;

	switch (fx->type) {
	case MLK_FX_SEND:
		send(p, fx);
		break;
	case MLK_FX_CONNECT:
		connect(p, fx);
		break;
	case MLK_FX_CLOSE_LINK:
		l = find_link(fx->u.close.link, p, &side);
		if (l == nullptr)
			break;
		close_side(l, side, now_);
		{
			auto fin = std::make_unique<Msg>();
			fin->closes = true;
			enqueue(l, side, std::move(fin));
		}
		break;
	case MLK_FX_STORE:
		store_call(p, fx);
		break;
	case MLK_FX_ANSWER:
		check_answer(p, fx, cause);
		break;
	case MLK_FX_REPLY_IDS:
		record_answer(p, fx->u.ids.request);
		for (uint32_t i = 0; i < fx->u.ids.n; i++)
			issued_ids_.push_back(fx->u.ids.ids[i]);
		break;
	case MLK_FX_REPLY_ERROR:
		stats["answers: error"]++;
		record_answer(p, fx->u.error.request);
		break;
	case MLK_FX_REPLY_ADMIN:
		admin_reply(p, fx);
		break;
	case MLK_FX_START_TASK:
		task_start(p, fx);
		break;
	case MLK_FX_ABORT_TASK:
		slot = fx->u.abort.slot;
		schedule(now_, [this, p, generation, slot] {
			post(p, generation, [this, p, slot] {
				task_end(p, slot, MLK_TASK_UNKNOWN);
			});
		});
		break;
	case MLK_FX_LOG:
		if (std::strstr(fx->u.log.text, "took over") != nullptr)
			stats["takeovers"]++;
		trace(p, std::string(fx->u.log.text) + " " + fx->u.log.worker);
		break;
	case MLK_FX_EXIT:
		break;
	}
}

/* ---- links ----------------------------------------------------------- */

Link *
World::find_link(uint32_t id, const Proc *p, unsigned *side)
{
	auto it = links_.find(id);

	if (it == links_.end())
		return (nullptr);
	for (*side = 0; *side < 2; ++*side) {
		if (it->second->end[*side] == p &&
		    it->second->generation[*side] == p->generation &&
		    it->second->up[*side])
			return (it->second.get());
	}
	return (nullptr);
}

void
World::link_event(
    Proc *p, uint64_t generation, bool up, uint32_t link, uint32_t connect)
{
	post(p, generation, [this, p, up, link, connect] {
		mlk_event ev{};

		ev.type = up ? MLK_EV_LINK_UP : MLK_EV_LINK_DOWN;
		ev.u.link.link = link;
		ev.u.link.connect = connect;
		apply(p, ev);
	});
}

int64_t
World::link_delay()
{
	if (reliable_)
		return ((50 + below(1000)) * (MS / 1000));
	return ((1 + below(15)) * MS);
}

/*
 * Connects to an entry after a delay.  Fails only if the process is not
 * running: for a paused one the kernel accepts the connection.
 */
void
World::connect(Proc *p, const mlk_effect *fx)
{
	uint32_t number = fx->u.connect.connect;
	std::string addr = fx->u.connect.addr;
	uint64_t generation = p->generation;

	schedule(now_ + (reliable_ ? link_delay() : (1 + below(10)) * MS),
	    [this, p, generation, number, addr] {
		Proc *other = nullptr;

		for (unsigned i = 0; i < ENTRIES; i++) {
			if (procs_[i].addr == addr && procs_[i].alive)
				other = &procs_[i];
		}
		if (!p->alive || p->generation != generation)
			return;
		if (other == nullptr) {
			link_event(p, generation, false, MLK_LINK_NONE, number);
			return;
		}
		auto l = std::make_unique<Link>();
		l->id = ++last_link_;
		l->end = { { p, other } };
		l->generation = { { generation, other->generation } };
		uint32_t id = l->id;
		links_[id] = std::move(l);
		link_event(other, other->generation, true, id, 0);
		link_event(p, generation, true, id, number);
	});
}

/* Closes a link at one side; messages that it has not read yet are lost. */
void
World::close_side(Link *l, unsigned side, int64_t when)
{
	Proc *p = l->end[side];
	uint64_t generation = l->generation[side];
	uint32_t id = l->id;

	if (!l->up[side])
		return;
	l->up[side] = false;
	schedule(when, [this, p, generation, id] {
		link_event(p, generation, false, id, 0);
	});
}

void
World::send(Proc *p, mlk_effect *fx)
{
	unsigned side = 0;
	Link *l = find_link(fx->u.send.link, p, &side);
	auto m = std::make_unique<Msg>();

	m->msg = fx->u.send.msg;
	std::memset(&fx->u.send.msg, 0, sizeof(fx->u.send.msg));
	if (l == nullptr)
		return;
	if (m->msg.type == MLK_MSG_START && l->leave_seen[side])
		violated("no START after LEAVE",
		    p->id + " to " + l->end[1 - side]->id);
	if (m->msg.type == MLK_MSG_FORWARD_REPLY) {
		const mlk_key &key = m->msg.u.forward_reply.answer.key;
		auto it = by_key_.find({ key.lo, key.hi });
		if (it != by_key_.end())
			m->started = it->second->started();
	}
	if (m->msg.type == MLK_MSG_START)
		last_sender_ = p;
	enqueue(l, side, std::move(m));
}

void
World::enqueue(Link *l, unsigned side, std::unique_ptr<Msg> m)
{
	l->last[side] = std::max(l->last[side], now_ + link_delay());
	l->queue[side].push_back(std::move(m));
	uint32_t id = l->id;
	schedule(l->last[side], [this, id, side] {
		auto it = links_.find(id);
		if (it != links_.end() && !it->second->stalled[side])
			deliver(it->second.get(), side);
	});
}

void
World::deliver(Link *l, unsigned side)
{
	unsigned to = 1 - side;
	Proc *p = l->end[to];
	uint64_t generation = l->generation[to];
	uint32_t id = l->id;

	if (l->queue[side].empty())
		return;
	std::shared_ptr<Msg> m = std::move(l->queue[side].front());
	l->queue[side].pop_front();
	if (!l->up[to])
		return;
	if (m->closes) {
		close_side(l, to, now_);
		return;
	}
	post(p, generation, [this, p, id, m] {
		unsigned s = 0;
		Link *at_link = find_link(id, p, &s);
		mlk_event ev{};

		if (at_link != nullptr && m->msg.type == MLK_MSG_LEAVE)
			at_link->leave_seen[s] = true;
		ev.type = MLK_EV_MSG;
		ev.u.msg.link = id;
		ev.u.msg.msg = &m->msg;
		apply(p, ev, m.get());
	});
}

void
World::unstall(Link *l, unsigned side)
{
	if (!l->stalled[side])
		return;
	l->stalled[side] = false;
	uint32_t id = l->id;
	for (size_t n = l->queue[side].size(); n > 0; n--) {
		schedule(now_, [this, id, side] {
			auto it = links_.find(id);
			if (it != links_.end() && !it->second->stalled[side])
				deliver(it->second.get(), side);
		});
	}
}

void
World::stall(unsigned n, unsigned side, int64_t ns)
{
	if (links_.empty())
		return;
	auto it = links_.begin();
	std::advance(it, n % links_.size());
	uint32_t id = it->first;
	side %= 2;
	stats["stalls"]++;
	it->second->stalled[side] = true;
	schedule(now_ + ns, [this, id, side] {
		auto again = links_.find(id);
		if (again != links_.end())
			unstall(again->second.get(), side);
	});
}

/*
 * Cuts a link.  Mode 0 loses all messages in transit; mode 1 delivers some of
 * them first; in modes 2 and 3 one side notices up to 8 s later.
 */
void
World::cut(unsigned n, unsigned mode)
{
	for (auto it = links_.begin(); it != links_.end();) {
		const Link &l = *it->second;
		bool closed = !l.up[0] && !l.up[1] && l.queue[0].empty() &&
		    l.queue[1].empty();
		it = closed ? links_.erase(it) : std::next(it);
	}
	if (links_.empty())
		return;
	auto it = links_.begin();
	std::advance(it, n % links_.size());
	Link *l = it->second.get();
	stats["links cut"]++;
	mode %= 4;
	trace(l->end[0], "link to " + l->end[1]->id + " cut, mode " +
		std::to_string(mode));
	for (unsigned s = 0; s < 2; s++) {
		size_t keep = mode == 1 ?
		    below((uint32_t)l->queue[s].size() + 1) :
		    0;
		for (size_t k = 0; k < keep; k++)
			deliver(l, s);
		l->queue[s].clear();
	}
	for (unsigned s = 0; s < 2; s++) {
		bool late = mode == 2 + s;
		close_side(l, s, now_ + (late ? below(8000) : below(5)) * MS);
	}
}

/* ---- table service --------------------------------------------------- */

struct World::Call {
	Proc *p;
	uint64_t generation;
	mlk_store_op op;
	std::string body;
	bool completed = false;
	~Call() { mlk_store_op_clear(&op); }
};

void
World::store_call(Proc *p, mlk_effect *fx)
{
	auto call = std::make_shared<Call>();
	mlk_error err{};
	char *body = nullptr;

	call->p = p;
	call->generation = p->generation;
	call->op = fx->u.store;
	std::memset(&fx->u.store, 0, sizeof(fx->u.store));
	if (mlk_platform_encode(&call->op, &body, &err) != 0)
		violated("operations encode", err.msg);
	call->body = body;
	free(body);
	bool slow = store_ == SLOW && below(2) == 0;
	schedule(now_ + (1 + below(slow ? 3000 : 5)) * MS, [this, call, slow] {
		json_t *txn, *reply;
		char *text;

		if (store_ == DOWN) {
			if (below(2) == 0)
				store_reply(call, 503, "");
			return;
		}
		txn = table_parse(call->body.data(), call->body.size());
		if (txn == nullptr)
			violated("operations parse", call->body);
		reply = table_apply(table_, txn);
		text = json_dumps(reply, JSON_COMPACT);
		std::string answer = text;
		free(text);
		json_decref(reply);
		bool wrote = table_write_count(txn);
		json_decref(txn);
		if (store_ == LOSE && below(2) == 0) {
			stats["store answers lost"] += wrote;
			return;
		}
		schedule(now_ + (1 + below(slow ? 1500 : 5)) * MS,
		    [this, call, answer] { store_reply(call, 200, answer); });
	});
	schedule(
	    now_ + STORE_TIMEOUT, [this, call] { store_reply(call, 0, ""); });
}

void
World::store_reply(const std::shared_ptr<Call> &call, int http_status,
    const std::string &body)
{
	if (call->completed)
		return;
	call->completed = true;
	post(call->p, call->generation, [this, call, http_status, body] {
		mlk_store_view view{};
		mlk_error err{};
		mlk_event ev{};

		if (mlk_platform_decode(&call->op, http_status,
			reinterpret_cast<const uint8_t *>(body.data()),
			body.size(), &ev.u.store.status, &view, &err) != 0)
			violated("answers decode", err.msg);
		std::unique_ptr<mlk_store_view, void (*)(mlk_store_view *)>
		    guard(&view, mlk_store_view_clear);
		ev.type = MLK_EV_STORE;
		ev.u.store.type = call->op.type;
		ev.u.store.id = call->op.id;
		if (ev.u.store.status != MLK_STORE_UNAVAILABLE)
			ev.u.store.view = &view;
		apply(call->p, ev);
	});
}

void
World::set_store_mode(unsigned mode, int64_t ns)
{
	static const char *const names[] = { "store up", "store down",
		"store slow", "store loses answers" };

	store_ = static_cast<StoreMode>(mode % 4);
	stats[names[store_]]++;
	trace(&procs_[0], std::string(names[store_]) + " for ms " +
		std::to_string(ns / MS));
	schedule(now_ + ns, [this] { store_ = UP; });
}

/* ---- endpoints ------------------------------------------------------- */

void
World::task_start(Proc *p, const mlk_effect *fx)
{
	auto it = by_key_.find({ fx->u.start.key.lo, fx->u.start.key.hi });
	uint32_t slot = fx->u.start.slot;
	uint32_t index = fx->u.start.index;
	uint64_t generation = p->generation;

	if (it == by_key_.end() || index >= it->second->tasks.size())
		violated("one start", "a task that nobody submitted");
	Job &job = *it->second;
	Task &t = job.tasks[index];
	stats["starts"]++;
	trace(p, "starts " + job.id + "/" + std::to_string(index));
	if (++t.starts > 1)
		violated("one start", job.id + "/" + std::to_string(index));
	if (t.not_run_final ||
	    (t.not_run_at >= 0 &&
		!resubmitted_since(job, t.not_run_request, t.not_run_at)))
		violated("not run stays so",
		    job.id + "/" + std::to_string(index));
	p->slots[slot] = { job.id, index };
	if (!faults_ended_ && !reliable_ && below(10) == 0)
		return; /* runs until finish() ends it */
	mlk_task_status status = reliable_ || below(10) < 8 ? MLK_TASK_DONE :
	    below(2) == 0		       ? MLK_TASK_FAILED :
						 MLK_TASK_UNKNOWN;
	uint32_t max_ms = !reliable_ && below(4) == 0 ? 3000 : 200;
	schedule(now_ + (5 + below(max_ms)) * MS,
	    [this, p, generation, slot, status, name = p->slots[slot]] {
		    post(p, generation, [this, p, slot, status, name] {
			    auto at_slot = p->slots.find(slot);
			    if (at_slot != p->slots.end() &&
				at_slot->second == name)
				    task_end(p, slot, status);
		    });
	    });
}

void
World::task_end(Proc *p, uint32_t slot, mlk_task_status status)
{
	auto it = p->slots.find(slot);
	mlk_event ev{};

	if (it == p->slots.end())
		return;
	auto name = it->second;
	p->slots.erase(it);
	Job &job =
	    *by_key_.at({ mlk_key_from_id(name.first.c_str()).lo,
		mlk_key_from_id(name.first.c_str()).hi });
	std::string text = "result of " + name.first + "/" +
	    std::to_string(name.second) + " by " + p->id;
	if (status == MLK_TASK_DONE)
		job.tasks[name.second].result = text;
	ev.type = MLK_EV_TASK_DONE;
	ev.u.task_done.slot = slot;
	ev.u.task_done.status = status;
	ev.u.task_done.run_ms = 5;
	ev.u.task_done.payload.data = reinterpret_cast<uint8_t *>(&text[0]);
	ev.u.task_done.payload.len = (uint32_t)text.size();
	stats[std::string("tasks ") + mlk_task_status_name(status)]++;
	apply(p, ev);
}

/* Ends one of all running tasks, selected by number. */
void
World::finish(unsigned which, mlk_task_status status)
{
	unsigned n = 0;

	for (Proc &p : procs_)
		n += (unsigned)p.slots.size();
	if (n == 0)
		return;
	which %= n;
	for (Proc &p : procs_) {
		for (auto &s : p.slots) {
			if (which-- != 0)
				continue;
			Proc *proc = &p;
			uint32_t slot = s.first;
			post(
			    proc, proc->generation, [this, proc, slot, status] {
				    task_end(proc, slot, status);
			    });
			return;
		}
	}
}

/* ---- callers --------------------------------------------------------- */

Proc *
World::next_live_entry(unsigned n)
{
	for (unsigned i = 0; i < ENTRIES; i++) {
		Proc *p = &procs_[(n + i) % ENTRIES];
		if (p->alive)
			return (p);
	}
	return (nullptr);
}

Job *
World::add_job(const std::string &id, unsigned tasks, bool deadline)
{
	auto job = std::make_unique<Job>();
	mlk_key key = mlk_key_from_id(id.c_str());

	job->id = id;
	job->submitted_at = now_;
	copy_text(job->spec.id, id);
	copy_text(job->spec.team, "team");
	job->spec.digest = mlk_digest(id.data(), id.size());
	job->spec.deadline_ms = deadline ? 400 : 0;
	job->spec.ntasks = tasks;
	job->spec.tasks = static_cast<mlk_task_spec *>(
	    calloc(tasks, sizeof(mlk_task_spec)));
	for (unsigned i = 0; i < tasks; i++)
		copy_text(job->spec.tasks[i].kind, "plot");
	job->tasks.resize(tasks);
	Job *out = job.get();
	by_key_[{ key.lo, key.hi }] = out;
	jobs_.push_back(std::move(job));
	return (out);
}

/* Adds a request and returns its number; they count from 1. */
size_t
World::add_request(RequestType type, Proc *p, Job *job)
{
	requests_.push_back({ type, p, p->generation, job });
	if (type == RequestType::Submit)
		job->requests.push_back(requests_.size());
	return (requests_.size());
}

void
World::submit_job(Proc *p, Job *job, bool wait)
{
	size_t number = add_request(RequestType::Submit, p, job);

	trace(p, "request " + std::to_string(number) + " submits " + job->id);

	post(p, p->generation, [this, p, job, number, wait] {
		mlk_event ev{};

		ev.type = MLK_EV_SUBMIT;
		ev.u.submit.request = number;
		ev.u.submit.wait = wait;
		ev.u.submit.spec = &job->spec;
		apply(p, ev);
	});
}

void
World::submit(unsigned entry, unsigned tasks, unsigned flags)
{
	Proc *p = next_live_entry(entry);
	std::string id = "job-" + std::to_string(jobs_.size());

	if (p == nullptr)
		return;
	if (flags % 2 == 1 && !issued_ids_.empty()) {
		id = issued_ids_.front();
		issued_ids_.pop_front();
		stats["issued ids used"]++;
	}
	submit_job(p, add_job(id, 1 + tasks % 5, flags % 4 == 0),
	    flags % 5 != 4);
}

void
World::resubmit(unsigned entry, unsigned job, bool not_run)
{
	Proc *p = next_live_entry(entry);

	if (p == nullptr || jobs_.empty())
		return;
	stats["resubmissions"]++;
	Job *j = jobs_[jobs_.size() - 1 - job % jobs_.size()].get();
	for (auto &other : jobs_) {
		for (const Task &t : other->tasks) {
			if (not_run && t.not_run_final && below(2) == 0)
				j = other.get();
		}
	}
	submit_job(p, j, true);
}

/* Looks up or cancels a recent job, issues ids, or plans a change. */
void
World::send_request(RequestType what, unsigned entry, unsigned job)
{
	bool of_job =
	    what == RequestType::Lookup || what == RequestType::Cancel;
	Proc *p = next_live_entry(entry);

	if (p == nullptr || (of_job && jobs_.empty()))
		return;
	Job *j = of_job ? jobs_[jobs_.size() - 1 - job % jobs_.size()].get() :
			  nullptr;
	size_t number = add_request(what, p, j);
	post(p, p->generation, [this, p, j, what, number, job] {
		mlk_admin_request admin{};
		mlk_event ev{};

		if (what == RequestType::Lookup) {
			ev.type = MLK_EV_LOOKUP;
			ev.u.lookup.request = number;
			ev.u.lookup.wait = true;
			copy_text(ev.u.lookup.id, j->id);
		} else if (what == RequestType::Cancel) {
			stats["cancels"]++;
			ev.type = MLK_EV_CANCEL;
			ev.u.cancel.request = number;
			copy_text(ev.u.cancel.id, j->id);
		} else if (what == RequestType::Ids) {
			ev.type = MLK_EV_ISSUE_IDS;
			ev.u.issue.request = number;
			ev.u.issue.count = 2;
		} else {
			ev.type = MLK_EV_ADMIN;
			ev.u.admin.request = number;
			ev.u.admin.admin = &admin;
			admin.type = MLK_ADMIN_PLAN;
			copy_text(admin.operator_name, "operator");
			admin.change.intent.type = MLK_INTENT_TEAM_WEIGHT;
			copy_text(admin.change.intent.id,
			    "i" + std::to_string(number));
			copy_text(admin.change.intent.subject, "team");
			admin.change.intent.value = 50 + (int32_t)job;
			copy_text(admin.change.intent.author, "operator");
			copy_text(admin.change.intent.reason, "test");
		}
		apply(p, ev);
	});
}

/* Confirms a plan right away, at the entry that made it. */
void
World::admin_reply(Proc *p, mlk_effect *fx)
{
	mlk_admin_reply &reply = fx->u.admin.reply;
	auto confirm = std::make_shared<mlk_admin_request>();

	record_answer(p, fx->u.admin.request);
	if (reply.type == MLK_ADMIN_CONFIRM && reply.code == MLK_OK)
		stats["configurations confirmed"]++;
	if (reply.type != MLK_ADMIN_PLAN || reply.plan == nullptr)
		return;
	confirm->type = MLK_ADMIN_CONFIRM;
	copy_text(confirm->operator_name, "operator");
	confirm->change = reply.plan->change;
	confirm->base_version = reply.plan->base_version;
	confirm->digest = reply.plan->digest;
	size_t number = add_request(RequestType::Confirm, p, nullptr);
	uint64_t generation = p->generation;
	schedule(now_ + 1, [this, p, generation, number, confirm] {
		post(p, generation, [this, p, number, confirm] {
			mlk_event ev{};

			ev.type = MLK_EV_ADMIN;
			ev.u.admin.request = number;
			ev.u.admin.admin = confirm.get();
			apply(p, ev);
		});
	});
}

void
World::disconnect_caller(unsigned n)
{
	std::vector<size_t> open;

	for (size_t i = 0; i < requests_.size(); i++) {
		const Request &r = requests_[i];
		if (r.answers == 0 && !r.disconnected &&
		    r.proc->generation == r.generation)
			open.push_back(i);
	}
	if (open.empty())
		return;
	size_t i = open[n % open.size()];
	Proc *p = requests_[i].proc;
	requests_[i].disconnected = true;
	post(p, p->generation, [this, p, i] {
		mlk_event ev{};

		ev.type = MLK_EV_REQUEST_GONE;
		ev.u.gone.request = i + 1;
		apply(p, ev);
	});
}

void
World::record_answer(Proc *p, uint64_t number)
{
	if (number == 0 || number > requests_.size())
		violated("one answer", "an answer to no request");
	Request &r = requests_[number - 1];
	if (r.proc != p || r.generation != p->generation)
		violated("one answer", "an answer from another process");
	if (++r.answers > 1)
		violated("one answer", "a second answer");
	r.answered_at = now_;
}

/*
 * Returns whether another submission of the job can have started its tasks
 * after `request` reported them as not run: it was made later, or had no answer
 * yet at that time.
 */
bool
World::resubmitted_since(
    const Job &job, size_t request, int64_t not_run_at) const
{
	for (size_t number : job.requests) {
		const Request &r = requests_[number - 1];
		if (number != request &&
		    (number > request || r.answered_at < 0 ||
			r.answered_at >= not_run_at))
			return (true);
	}
	return (false);
}

/*
 * Checks an answer that reports a task as not run.  If the id was submitted
 * more than once, a relayed answer is checked against the starts at the time
 * when the owner sent it: another submission may have started the task since
 * then.
 */
void
World::check_not_run(
    Request &r, size_t number, uint32_t index, const Msg *cause)
{
	Task &t = r.job->tasks[index];
	uint64_t started = r.job->started();

	if (cause != nullptr && cause->msg.type == MLK_MSG_FORWARD_REPLY &&
	    r.job->requests.size() > 1)
		started = cause->started;
	if ((started & (1ULL << index)) != 0)
		violated("not run is true",
		    r.job->id + "/" + std::to_string(index));
	t.not_run_at = now_;
	t.not_run_request = number;
	t.not_run_final |= started != 0;
}

void
World::check_answer(Proc *p, const mlk_effect *fx, const Msg *cause)
{
	const mlk_job_answer &a = fx->u.answer.answer;
	size_t number = fx->u.answer.request;
	std::string text;

	record_answer(p, number);
	Request &r = requests_[number - 1];
	Job &job = *r.job;
	stats[std::string("answers: ") + mlk_outcome_name(a.outcome)]++;
	trace(p, "answers request " + std::to_string(number) + " " + job.id +
		" " + mlk_outcome_name(a.outcome) + " " + a.reason);
	if (!mlk_key_equal(a.key, mlk_key_from_id(job.id.c_str())))
		violated("own key", job.id);
	if (job.submitted_at >= require_complete_from_ &&
	    a.outcome != MLK_OUTCOME_COMPLETE)
		violated("complete", job.id);
	for (uint32_t i = 0; i < a.ntasks; i++) {
		const mlk_task_result &t = a.tasks[i];
		std::string payload(
		    reinterpret_cast<const char *>(t.payload.data),
		    t.payload.len);
		if (t.status == MLK_TASK_NOT_RUN)
			check_not_run(r, number, i, cause);
		if (a.outcome == MLK_OUTCOME_COMPLETE &&
		    (t.status != MLK_TASK_DONE ||
			payload != job.tasks[i].result))
			violated("complete is whole",
			    job.id + "/" + std::to_string(i) + " " + payload);
		text += payload + ";";
	}
	if (a.outcome == MLK_OUTCOME_COMPLETE) {
		if (a.ntasks != job.tasks.size())
			violated("complete is whole", job.id);
		if (!job.complete.empty() && job.complete != text)
			violated("same answer", job.id);
		job.complete = text;
	}
	for (uint32_t i = 0;
	     a.outcome == MLK_OUTCOME_REFUSED && i < job.tasks.size(); i++)
		check_not_run(r, number, i, cause);
}

/* ---- the run --------------------------------------------------------- */

void
World::run(int64_t ns)
{
	int64_t until = now_ + ns;
	int64_t tick = (now_ / TICK + 1) * TICK;

	for (; now_ < until; tick += TICK) {
		int64_t stop_at = std::min(tick, until);
		while (!actions_.empty() &&
		    actions_.begin()->first <= stop_at) {
			auto it = actions_.begin();
			auto action = std::move(it->second);
			now_ = std::max(now_, it->first);
			actions_.erase(it);
			action();
		}
		now_ = stop_at;
		if (now_ < tick)
			break;
		for (Proc &p : procs_) {
			mlk_event ev{};

			if (!p.alive || p.paused)
				continue;
			ev.type = MLK_EV_TICK;
			apply(&p, ev);
		}
	}
}

void
World::quiesce()
{
	int64_t until = now_ + QUIESCE_MAX;
	std::string open = "all";

	trace(&procs_[0], "everything is healthy again");
	faults_ended_ = true;
	store_ = UP;
	for (auto &it : links_) {
		unstall(it.second.get(), 0);
		unstall(it.second.get(), 1);
	}
	run(15000 * MS); /* for restarts and ends of pauses that are due */
	/* Submits the jobs again that have no answer and no waiting caller. */
	for (auto &job : jobs_) {
		bool answered_or_open = false;
		for (size_t number : job->requests) {
			const Request &r = requests_[number - 1];
			answered_or_open |= r.answers > 0 ||
			    (r.proc->alive &&
				r.proc->generation == r.generation &&
				!r.disconnected);
		}
		if (!answered_or_open)
			submit_job(
			    next_live_entry(below(ENTRIES)), job.get(), true);
	}
	while (!open.empty() && now_ < until) {
		for (unsigned n = 0; n < AGENTS * 2; n++)
			finish(0, MLK_TASK_DONE);
		run(500 * MS);
		open.clear();
		for (size_t i = 0; i < requests_.size(); i++) {
			const Request &r = requests_[i];
			if (r.answers == 0 && !r.disconnected &&
			    r.proc->generation == r.generation)
				open += " request " + std::to_string(i + 1) +
				    " at " + r.proc->id;
		}
	}
	for (Proc &p : procs_) {
		if (p.is_entry && p.alive) {
			struct mlk_entry_gauges g;

			mlk_entry_gauges(p.entry, &g);
			trace(&p,
			    "serves " + std::to_string(g.partitions_serving) +
				" of " + std::to_string(g.partitions_owned) +
				" partitions, agents " +
				std::to_string(g.agents) + ", queued " +
				std::to_string(g.tasks_queued) +
				", in flight " +
				std::to_string(g.tasks_in_flight) +
				", credits " + std::to_string(g.credits_held));
			const struct mlk_entry_counters *c =
			    mlk_entry_counters(p.entry);
			stats["joined"] += c->jobs_joined;
			stats["forwards"] += c->forwards_sent;
		} else if (p.alive) {
			struct mlk_agent_gauges g;

			mlk_agent_gauges(p.agent, &g);
			trace(&p, "runs " + std::to_string(g.running) +
				", lent " + std::to_string(g.credits_lent));
		}
	}
	if (!open.empty())
		violated("liveness", open);
}
