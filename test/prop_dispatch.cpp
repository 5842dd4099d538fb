/*
 * Property test of entries, runners and workers under any mix of faults: what
 * dispatch_world.h promises holds at every step, and every caller gets an
 * answer once the faults are over.
 *
 * A failing schedule is shrunk to its essential faults and printed.
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
constexpr int longest_ms = 5000;
constexpr int faults_max = 12;

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
any_fault()
{
	return rc::gen::build<fault>(
	    rc::gen::set(&fault::kind, rc::gen::inRange(0, int(WORLD_FAULTS))),
	    rc::gen::set(
		&fault::at, rc::gen::inRange(first_fault_ms, last_fault_ms)),
	    rc::gen::set(&fault::a, rc::gen::inRange(0, 3)),
	    rc::gen::set(&fault::b, rc::gen::inRange(0, 4)),
	    rc::gen::set(&fault::ms,
		rc::gen::oneOf(rc::gen::inRange(20, 1500),
		    rc::gen::inRange(20, longest_ms))));
}

/* Ranges are used whole from the first case on, not grown with the cases. */
template <typename T>
rc::Gen<T>
whole(rc::Gen<T> gen)
{
	return rc::gen::resize(rc::kNominalSize, std::move(gen));
}

} // namespace

int
main()
{
	bool ok;

	ok = rc::check("entries, runners and workers under faults", [] {
		const auto n = *whole(rc::gen::inRange(0, faults_max + 1));
		const auto faults = *whole(
		    rc::gen::container<std::vector<fault>>(n, any_fault()));
		struct world_options options{};
		options.seed = *whole(rc::gen::inRange<uint64_t>(1, 1000000));
		options.entries = 3;
		options.agents = 4;
		options.jobs_per_s = *rc::gen::element(10u, 30u, 60u);
		options.cpu = 64000;
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
