/*
 * Property test of an agent that is paused for about as long as the entries
 * wait before they declare it lost, and then resumes.  Guards against failed
 * jobs among those submitted after its lease has expired: when it resumes, some
 * entries have closed its incarnation in the table and others have not, so that
 * it works for some of them while it registers again.
 */
#include <cstdio>

#include "prop_world.hpp"

constexpr unsigned CASES = 150;
constexpr uint32_t PAUSE_MIN_MS = 5700; /* lease and agent_lapse: 6 s */
constexpr uint32_t PAUSE_SPREAD_MS = 600;
/* By then an entry has closed the link of a silent agent. */
constexpr int64_t LEASE_MS = 3600;
constexpr unsigned AGENT = 4 + 1; /* for World::pause(): an agent with tasks */

static void
submit_jobs(World &w, mlk_rng &rng, int64_t ms)
{
	int64_t until = w.now() + ms * MS;

	while (w.now() < until) {
		w.submit(mlk_rng_below(&rng, ENTRIES), 4, 1);
		w.run((5 + mlk_rng_below(&rng, 40)) * MS);
	}
}

int
main()
{
	unsigned n = 0;
	mlk_rng rng;

	try {
		for (; n < CASES; n++) {
			mlk_rng_seed(&rng, n * 77 + 5);
			World w(n, true);
			w.run(1500 * MS);
			submit_jobs(w, rng, 1500);
			uint32_t pause =
			    PAUSE_MIN_MS + mlk_rng_below(&rng, PAUSE_SPREAD_MS);
			w.pause(AGENT, pause * MS);
			w.require_complete_from(w.now() + LEASE_MS * MS);
			submit_jobs(w, rng, pause + 3000);
			w.quiesce();
		}
	} catch (const Violation &v) {
		std::printf("case %u: %s\n", n, v.what());
		return (1);
	}
	std::printf("%u cases, %llu jobs complete\n", n,
	    (unsigned long long)stats["answers: complete"]);
	/* All but those with tasks on the paused agent. */
	return (stats["answers: complete"] < CASES * 300 ? 1 : 0);
}
