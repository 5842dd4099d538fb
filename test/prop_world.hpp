/*
 * Simulation of a whole system in one process for property tests: the real
 * entry and agent reducers, the links between them, which can fail, the table
 * of standin/table.c behind the JSON of the platform library, a clock, callers,
 * and a checker that records every start.  All delays come from a generator
 * seeded by the case, so that a case can be repeated.
 */
#ifndef TEST_PROP_WORLD_HPP
#define TEST_PROP_WORLD_HPP

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

extern "C" {
#include <monsoonlock/core.h>

#include "table.h"
}

constexpr unsigned ENTRIES = 3;
constexpr unsigned AGENTS = 4;
constexpr unsigned PROCS = ENTRIES + AGENTS;
constexpr int64_t MS = MLK_NSEC_PER_MSEC;

/* A property does not hold; the text is "violated: ", its name and a trace. */
struct Violation : std::runtime_error {
	using std::runtime_error::runtime_error;
};

/* Counts by name over all cases of a run, for the coverage check. */
using Stats = std::map<std::string, uint64_t>;
extern Stats stats;

struct Proc {
	bool is_entry = false;
	std::string id, addr;
	/* Changes at each start and end; older actions are dropped. */
	uint64_t generation = 0;
	bool alive = false;
	bool paused = false;
	bool stopping = false;
	mlk_entry *entry = nullptr;
	mlk_agent *agent = nullptr;
	uint64_t config_version = 0; /* highest seen in this generation */
	std::deque<std::function<void()>> deferred; /* until the pause ends */
	/* Agent: job id and task index by slot. */
	std::map<uint32_t, std::pair<std::string, uint32_t>> slots;
};

/* A message in transit. */
struct Msg {
	mlk_msg msg{};
	bool closes = false; /* end of the stream instead of a message */
	uint64_t started = 0; /* FORWARD_REPLY: mask of tasks, when sent */
	~Msg() { mlk_msg_clear(&msg); }
	Msg() = default;
	Msg(const Msg &) = delete;
	Msg &operator=(const Msg &) = delete;
};

/* A link; index 0 of the arrays is the connecting side. */
struct Link {
	uint32_t id = 0;
	std::array<Proc *, 2> end{};
	std::array<uint64_t, 2> generation{};
	std::array<bool, 2> up{ { true, true } }; /* not closed at that side */
	std::array<bool, 2> stalled{}; /* by sending side */
	std::array<int64_t, 2> last{}; /* arrival of the last message sent */
	std::array<std::deque<std::unique_ptr<Msg>>, 2> queue;
	std::array<bool, 2> leave_seen{}; /* LEAVE was delivered to that side */
};

/* What the checker knows of one task. */
struct Task {
	unsigned starts = 0;
	std::string result; /* of the endpoint; empty: none yet */
	int64_t not_run_at = -1; /* reported to a caller as not run */
	size_t not_run_request = 0; /* whose answer reported it */
	bool not_run_final = false; /* others of the job had started */
};

struct Job {
	std::string id;
	int64_t submitted_at = 0; /* first submission */
	mlk_job_spec spec{};
	std::vector<Task> tasks;
	std::vector<size_t> requests; /* submissions, in order */
	std::string complete; /* results in a complete answer */
	~Job() { mlk_job_spec_clear(&spec); }
	Job() = default;
	Job(const Job &) = delete;
	Job &operator=(const Job &) = delete;
	uint64_t started() const; /* mask of tasks */
};

enum class RequestType { Submit, Lookup, Cancel, Ids, Plan, Confirm };

/* A request of a caller or an operator to an entry. */
struct Request {
	RequestType type;
	Proc *proc;
	uint64_t generation;
	Job *job; /* nullptr: none */
	bool disconnected = false; /* by the caller */
	bool lost = false; /* its entry died, and it is submitted again */
	int64_t answered_at = -1;
	unsigned answers = 0;
};

class World {
public:
	/*
	 * With reliable, agents have 8 slots, links are fast, and endpoints
	 * complete every task within about 200 ms.
	 */
	explicit World(uint64_t seed, bool reliable = false);
	~World();
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	/* Commands.  Numbers select an object, modulo how many there are. */
	void submit(unsigned entry, unsigned tasks, unsigned flags);
	void resubmit(unsigned entry, unsigned job, bool not_run);
	void send_request(RequestType type, unsigned entry, unsigned job);
	void disconnect_caller(unsigned request);
	void run(int64_t ns);
	void finish(unsigned which, mlk_task_status status);
	void kill(unsigned proc, bool entry, int64_t down_ns, bool new_id);
	void pause(unsigned proc, int64_t ns);
	void stop(unsigned proc);
	void cut(unsigned link, unsigned mode);
	void stall(unsigned link, unsigned side, int64_t ns);
	void set_store_mode(unsigned mode, int64_t ns);
	/* Ends all faults, runs until every request is answered, or fails. */
	void quiesce();
	/* Requires complete answers to jobs submitted from then on. */
	void require_complete_from(int64_t when)
	{
		require_complete_from_ = when;
	}
	int64_t now() const { return now_; }

private:
	enum StoreMode { UP, DOWN, SLOW, LOSE };
	struct Call;
	struct Running;

	[[noreturn]] void violated(
	    const std::string &property, const std::string &what) const;
	void trace(const Proc *p, const std::string &what);
	uint32_t below(uint32_t bound) { return mlk_rng_below(&rng_, bound); }
	void schedule(int64_t when, std::function<void()> action);
	void post(Proc *p, uint64_t generation, std::function<void()> action);
	void apply(Proc *p, mlk_event &ev, const Msg *cause = nullptr);
	void apply_effect(Proc *p, mlk_effect *fx, const Msg *cause);
	void start(Proc *p, bool new_id);
	void terminate(Proc *p);
	void link_event(Proc *p, uint64_t generation, bool up, uint32_t link,
	    uint32_t connect);
	void connect(Proc *p, const mlk_effect *fx);
	void send(Proc *p, mlk_effect *fx);
	void enqueue(Link *l, unsigned side, std::unique_ptr<Msg> m);
	void deliver(Link *l, unsigned side);
	void unstall(Link *l, unsigned side);
	void close_side(Link *l, unsigned side, int64_t when);
	Link *find_link(uint32_t id, const Proc *p, unsigned *side);
	void store_call(Proc *p, mlk_effect *fx);
	void store_reply(const std::shared_ptr<Call> &call, int http_status,
	    const std::string &body);
	void task_start(Proc *p, const mlk_effect *fx);
	void task_end(Proc *p, uint32_t slot, mlk_task_status status);
	size_t add_request(RequestType type, Proc *p, Job *job);
	void submit_job(Proc *p, Job *job, bool wait);
	void check_answer(Proc *p, const mlk_effect *fx, const Msg *cause);
	void check_not_run(Request &r, size_t number, uint32_t index,
	    const Msg *cause);
	void record_answer(Proc *p, uint64_t number);
	void admin_reply(Proc *p, mlk_effect *fx);
	void exited(Proc *p);
	void resubmit_lost(const Proc *p);
	Proc *pick(unsigned n, bool entry, bool busy);
	bool resubmitted_since(
	    const Job &job, size_t request, int64_t not_run_at) const;
	Proc *next_live_entry(unsigned n);
	Job *add_job(const std::string &id, unsigned tasks, bool deadline);

	int64_t link_delay();

	mlk_rng rng_{};
	const bool reliable_;
	int64_t require_complete_from_ = INT64_MAX;
	int64_t now_;
	uint64_t last_generation_ = 0;
	uint32_t last_link_ = 0;
	unsigned next_agent_ = 0;
	bool faults_ended_ = false;
	Proc *last_sender_ = nullptr; /* entry that sent the latest START */
	StoreMode store_ = UP;
	table *table_;
	std::array<Proc, PROCS> procs_;
	std::map<uint32_t, std::unique_ptr<Link>> links_;
	std::multimap<int64_t, std::function<void()>> actions_;
	std::vector<std::unique_ptr<Job>> jobs_;
	std::map<std::pair<uint64_t, uint64_t>, Job *> by_key_;
	std::vector<Request> requests_;
	std::deque<std::string> issued_ids_;
	std::deque<std::string> trace_; /* latest events, for violated() */
};

#endif
