/*
 * Property test of dispatchers, runners and workers under random sequences of
 * faults: the properties listed in dispatch_world.h hold at every step, and
 * every caller gets an answer once the faults are over.
 *
 * A failing sequence of faults is shrunk and printed.
 */
#include <cstdio>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "dispatch_world.h"
}

namespace {

constexpr int first_fault_ms = 4000;
constexpr int last_fault_ms = 14000;
constexpr int end_ms = 16000;
constexpr int fault_ms_max = 5000;
constexpr int faults_max = 12;

/* Arguments of world_fault(). */
struct fault {
	int kind;
	int at;
	int a;
	int b;
	int ms;
};

std::ostream &
operator<<(std::ostream &os, const fault &f)
{
	return os << "{" << f.kind << ", at " << f.at << ", entry " << f.a
		  << ", agent " << f.b << ", " << f.ms << " ms}";
}

rc::Gen<fault>
gen_fault()
{
	return rc::gen::build<fault>(
	    rc::gen::set(&fault::kind, rc::gen::inRange(0, int(WORLD_FAULTS))),
	    rc::gen::set(
		&fault::at, rc::gen::inRange(first_fault_ms, last_fault_ms)),
	    rc::gen::set(&fault::a, rc::gen::inRange(0, 3)),
	    rc::gen::set(&fault::b, rc::gen::inRange(0, 4)),
	    rc::gen::set(&fault::ms,
		rc::gen::oneOf(rc::gen::inRange(20, 1500),
		    rc::gen::inRange(20, fault_ms_max))));
}

/*
 * Uses the full range of a generator in every case.  RapidCheck would start
 * with small values and grow the range from case to case.
 */
template <typename T>
rc::Gen<T>
full_range(rc::Gen<T> gen)
{
	return rc::gen::resize(rc::kNominalSize, std::move(gen));
}

} // namespace

int
main()
{
	bool ok;

	ok = rc::check("entries, runners and workers under faults", [] {
		const auto n = *full_range(rc::gen::inRange(0, faults_max + 1));
		const auto faults = *full_range(
		    rc::gen::container<std::vector<fault>>(n, gen_fault()));
		struct world_options options{};
		options.seed =
		    *full_range(rc::gen::inRange<uint64_t>(1, 1000000));
		options.entries = 3;
		options.agents = 4;
		options.jobs_per_s = *rc::gen::element(10u, 30u, 60u, 90u);
		options.cpu = 64000;
		options.start_answer_ms = *rc::gen::element(0u, 20u);
		options.offer_ahead_ms = *rc::gen::element(0u, 8u, 20u);
		world *w = world_create(&options);
		for (const auto &f : faults)
			world_fault(w, f.at,
			    static_cast<enum world_fault>(f.kind), f.a, f.b, f.ms);
		world_run(w, end_ms);
		world_settle(w);
		struct world_stats stats{};
		world_read_stats(w, &stats);
		const char *violation = world_violation(w);
		const std::string text = violation == nullptr ? "" : violation;
		world_destroy(w);
		if (!text.empty())
			std::printf("%s\n", text.c_str());
		RC_ASSERT(text.empty());
		if (stats.unanswered != 0)
			std::printf("violated: answered: %u jobs\n",
			    stats.unanswered);
		RC_ASSERT(stats.unanswered == 0u);
	});
	return ok ? 0 : 1;
}
