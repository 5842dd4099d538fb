/*
 * Tests of the scheduler: task classes, queues, admission, choice of agents.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "sched.h"

#define MS MLK_NSEC_PER_MSEC
#define SEC MLK_NSEC_PER_SEC
#define NO_AGENT UINT32_MAX

static const struct mlk_credits four_credits = { .any = 4 };

/*
 * Creates a scheduler in the data centre dc0 with agents "w<i>" of 8 slots
 * each, alternately in dc0 and dc1.
 */
static struct mlk_sched *
new_sched(enum mlk_policy policy, uint32_t nagents)
{
	struct mlk_sched_options opt = {
		.policy = policy, .seed = 1, .max_queued = 100000, .dc = "dc0"
	};
	struct mlk_sched *s = mlk_sched_create(&opt);
	char dc[16], id[16];
	uint32_t a;

	for (a = 0; a < nagents; a++) {
		(void)snprintf(id, sizeof(id), "w%u", a);
		(void)snprintf(dc, sizeof(dc), "dc%u", a % 2);
		mlk_sched_agent_up(s, a, id, dc, 8, 0);
	}
	return (s);
}

/* Queues a task without a deadline; returns 0 or an MLK_ERR_* code. */
static int
enqueue(struct mlk_sched *s, uint32_t task, const char *kind, const char *team)
{
	struct mlk_sched_task t = { .task = task,
		.kind = kind,
		.team = team,
		.avoid_agent = NO_AGENT };

	return (mlk_sched_enqueue(s, &t, 0));
}

/*
 * Runs n tasks of a kind that take run_ms each, so that its run time is known.
 */
static void
train_run_time(
    struct mlk_sched *s, const char *kind, uint32_t run_ms, uint32_t n)
{
	struct mlk_binding b;
	uint32_t i;

	for (i = 0; i < n; i++) {
		assert_int_equal(enqueue(s, 1U << 30, kind, "teacher"), 0);
		mlk_sched_credit(s, 0, (struct mlk_credits){ .any = 1 });
		assert_true(mlk_sched_next(s, 0, &b));
		mlk_sched_done(s, b.agent, kind, "teacher", b.is_long,
		    MLK_TASK_DONE, run_ms, 0);
	}
}

/* Replaces the configuration by one that holds only this intent. */
static void
set_intent(struct mlk_sched *s, enum mlk_intent_type type, const char *subject,
    const char *target, int32_t value)
{
	struct mlk_intent in = { .type = type, .value = value };
	struct mlk_config config = { .nintents = 1, .intents = &in };

	(void)snprintf(in.subject, sizeof(in.subject), "%s", subject);
	(void)snprintf(in.target, sizeof(in.target), "%s", target);
	mlk_sched_configure(s, &config, 0);
}

/*
 * Guards against tasks of unknown kinds that occupy all slots, and against
 * kinds in the wrong class.
 */
static void
test_task_classes(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 10);
	struct mlk_sched_stats st;
	struct mlk_binding b;
	uint32_t i, n = 0;

	(void)state;
	for (i = 0; i < 10; i++)
		mlk_sched_credit(s, i, four_credits);
	for (i = 0; i < 40; i++)
		assert_int_equal(enqueue(s, i, "new", "t"), 0);
	while (mlk_sched_next(s, 0, &b)) {
		assert_true(b.is_long);
		n++;
	}
	assert_int_equal(n, 8);
	for (i = 0; i < 5; i++)
		mlk_sched_done(
		    s, b.agent, "new", "t", true, MLK_TASK_DONE, 100, 0);
	mlk_sched_stats(s, &st);
	assert_int_equal(st.queued_short, 32);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_false(b.is_long);
	for (i = 0; i < 40; i++)
		(void)mlk_sched_remove(s, i);
	/* One slow task does not change the class, a sustained change does. */
	mlk_sched_done(s, b.agent, "new", "t", false, MLK_TASK_DONE, 20000, 0);
	train_run_time(s, "new", 100, 40);
	mlk_sched_stats(s, &st);
	assert_int_equal(st.queued_long, 0);
	train_run_time(s, "new", 3000, 10);
	assert_int_equal(enqueue(s, 100, "new", "t"), 0);
	mlk_sched_stats(s, &st);
	assert_int_equal(st.queued_short, 0);
	mlk_sched_destroy(s);
}

/* Binds n tasks and returns how many have a handle below the bound. */
static uint32_t
count_bound_below(struct mlk_sched *s, uint32_t n, uint32_t bound)
{
	uint32_t count = 0;
	struct mlk_binding b;

	while (n-- > 0) {
		mlk_sched_credit(s, 0, (struct mlk_credits){ .short_only = 1 });
		assert_true(mlk_sched_next(s, 0, &b));
		count += b.task < bound;
	}
	return (count);
}

/*
 * Guards against a team that gets more than its share because its queue is
 * longer.
 */
static void
test_fair_shares(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 1);
	struct mlk_binding b;
	uint32_t i;

	(void)state;
	train_run_time(s, "k", 100, 5);
	for (i = 0; i < 1000; i++)
		assert_int_equal(enqueue(s, i, "k", "large"), 0);
	for (i = 0; i < 200; i++)
		assert_int_equal(enqueue(s, 1000 + i, "k", "small"), 0);
	assert_in_range(count_bound_below(s, 100, 1000), 48, 52);
	set_intent(s, MLK_INTENT_TEAM_WEIGHT, "large", "", 300);
	assert_in_range(count_bound_below(s, 100, 1000), 73, 77);
	/* Within a team, tasks start in the order of arrival. */
	mlk_sched_credit(s, 0, four_credits);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_true(b.task == 125 || b.task == 1075);
	mlk_sched_destroy(s);
}

/*
 * Guards against a quota that is not enforced, or that still holds tasks back
 * after others have ended, and against an urgent task that does not go first.
 */
static void
test_quota_and_urgency(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 1);
	struct mlk_binding b;
	struct mlk_demand d;
	uint32_t i, n = 0;

	(void)state;
	train_run_time(s, "k", 100, 5);
	train_run_time(s, "urgent", 100, 5);
	set_intent(s, MLK_INTENT_TEAM_QUOTA, "t", "", 500);
	mlk_sched_set_entries(s, 2);
	for (i = 0; i < 10; i++)
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
	mlk_sched_credit(s, 0, four_credits);
	while (mlk_sched_next(s, 0, &b))
		n++;
	assert_int_equal(n, 2); /* half of 8 slots over two entries */
	/* Tasks that the quota holds back do not count as demand. */
	(void)mlk_sched_reclaim(s, 0, four_credits);
	mlk_sched_demand(s, 0, &d);
	assert_int_equal(d.queued_short, 0);
	mlk_sched_credit(s, 0, four_credits);
	mlk_sched_done(s, 0, "k", "t", false, MLK_TASK_DONE, 100, 0);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_false(mlk_sched_next(s, 0, &b));
	set_intent(s, MLK_INTENT_KIND_URGENCY, "urgent", "", 2);
	assert_int_equal(enqueue(s, 77, "urgent", "t"), 0);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_int_equal(b.task, 77);
	mlk_sched_destroy(s);
}

/*
 * Guards against jobs that are queued although they cannot end before their
 * deadline, and against queues that grow beyond their limits.
 */
static void
test_admission(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 1);
	struct mlk_task_spec task = { .kind = "k" };
	struct mlk_job_spec job = {
		.team = "t", .ntasks = 1, .tasks = &task, .deadline_ms = 1000
	};
	uint32_t i, retry = 0;
	char reason[128];

	(void)state;
	train_run_time(s, "k", 100, 5);
	assert_int_equal(mlk_sched_admit(s, &job, 0, &retry, reason), 0);
	for (i = 0; i < 100; i++)
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
	assert_int_equal(
	    mlk_sched_admit(s, &job, 0, &retry, reason), MLK_ERR_UNAVAILABLE);
	/* In ms: 100 tasks of 0.1 s on one slot take 10 s. */
	assert_in_range(retry, 5000, 15000);
	job.deadline_ms = 0;
	assert_int_equal(mlk_sched_admit(s, &job, 0, &retry, reason), 0);
	set_intent(s, MLK_INTENT_TEAM_QUOTA, "t", "", 1);
	job.ntasks = 100;
	assert_int_equal(
	    mlk_sched_admit(s, &job, 0, &retry, reason), MLK_ERR_UNAVAILABLE);
	for (i = 100; i < 100000; i++)
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
	assert_int_equal(enqueue(s, i, "k", "t"), MLK_ERR_NOMEM);
	assert_int_equal(enqueue(s, 5, "k", "t"), MLK_ERR_CONFLICT);
	mlk_sched_destroy(s);
}

/*
 * Guards against tasks that stay queued, and so may be started, after their
 * deadline.
 */
static void
test_deadlines(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 1);
	struct mlk_sched_task t = {
		.kind = "k", .team = "t", .avoid_agent = NO_AGENT
	};
	uint32_t i, out[8];

	(void)state;
	for (i = 0; i < 40; i++) {
		t.task = i;
		t.deadline = (i + 1) * SEC;
		assert_int_equal(mlk_sched_enqueue(s, &t, 0), 0);
	}
	assert_int_equal(mlk_sched_expired(s, SEC - 1, out, 8), 0);
	assert_int_equal(mlk_sched_expired(s, SEC, out, 8), 1);
	assert_int_equal(out[0], 0);
	assert_false(mlk_sched_remove(s, 0));
	assert_int_equal(mlk_sched_expired(s, 20 * SEC, out, 8), 8);
	assert_int_equal(mlk_sched_expired(s, 20 * SEC, out, 8), 8);
	assert_int_equal(mlk_sched_expired(s, 20 * SEC, out, 8), 3);
	t.task = 50;
	t.deadline = SEC; /* passed already */
	assert_int_equal(mlk_sched_enqueue(s, &t, 20 * SEC), 0);
	assert_int_equal(mlk_sched_expired(s, 20 * SEC + 1, out, 8), 1);
	mlk_sched_destroy(s);
}

static double
cpu_time_s(void)
{
	return ((double)clock() / CLOCKS_PER_SEC);
}

/*
 * Removes half of n queued tasks in a scattered order.  Returns the CPU time
 * of the removals in seconds.
 */
static double
time_removal_s(uint32_t n)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 1);
	struct mlk_sched_stats st;
	uint32_t i;
	double t;

	train_run_time(s, "k", 100, 5);
	for (i = 0; i < n; i++)
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
	t = cpu_time_s();
	for (i = 0; i < n / 2; i++)
		assert_true(
		    mlk_sched_remove(s, (uint32_t)((uint64_t)i * 7919 % n)));
	t = cpu_time_s() - t;
	mlk_sched_stats(s, &st);
	assert_int_equal(st.queued_short, n - n / 2);
	mlk_sched_destroy(s);
	return (t);
}

/*
 * Guards against removals whose cost grows with the queue, as when many jobs
 * are cancelled at once.  Ten times the tasks may take 40 times as long; a
 * scan of the queue would take 100 times.
 */
static void
test_removal_is_constant_time(void **state)
{
	(void)state;
	assert_true(time_removal_s(100000) < 40 * time_removal_s(10000) + 0.01);
}

/*
 * Runs n tasks.  Those on agent 0 end with the given status and run time, all
 * others succeed after 100 ms.  Returns how many agent 0 got.
 */
static uint32_t
run_with_faulty_agent(struct mlk_sched *s, uint32_t n,
    enum mlk_task_status status, uint32_t run_ms, int64_t *now)
{
	uint32_t agents[8], count = 0, i;
	struct mlk_binding b;

	for (i = 0; i < n; i++) {
		*now += 10 * MS;
		(void)mlk_sched_need(s, *now, agents, 8);
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
		assert_true(mlk_sched_next(s, *now, &b));
		mlk_sched_credit(
		    s, b.agent, (struct mlk_credits){ .short_only = 1 });
		count += b.agent == 0;
		mlk_sched_done(s, b.agent, "k", "t", false,
		    b.agent == 0 ? status : MLK_TASK_DONE,
		    b.agent == 0 ? run_ms : 100, *now);
	}
	return (count);
}

/* Guards against a failing or slow worker that keeps getting tasks. */
static void
test_ejection(void **state)
{
	struct mlk_sched_stats st;
	struct mlk_sched *s;
	int64_t now;
	uint32_t i, slow;

	(void)state;
	for (slow = 0; slow < 2; slow++) {
		now = SEC;
		s = new_sched(MLK_POLICY_CREDITS, 10);
		train_run_time(s, "k", 100, 40);
		for (i = 0; i < 10; i++)
			mlk_sched_credit(
			    s, i, (struct mlk_credits){ .short_only = 1 });
		assert_in_range(run_with_faulty_agent(s, 1000,
				    slow ? MLK_TASK_DONE : MLK_TASK_FAILED,
				    slow ? 1000 : 1, &now),
		    5, 10);
		mlk_sched_stats(s, &st);
		assert_true(st.ejections >= 1);
		/* After good probes it gets a fifth again: 5 are local. */
		now += 64 * SEC;
		(void)run_with_faulty_agent(s, 500, MLK_TASK_DONE, 100, &now);
		assert_in_range(
		    run_with_faulty_agent(s, 500, MLK_TASK_DONE, 100, &now), 90,
		    110);
		mlk_sched_stats(s, &st);
		assert_int_equal(st.ejected, 0);
		mlk_sched_destroy(s);
	}
}

/*
 * Guards against the ejection of most workers, or of all of them when the
 * tasks are at fault.
 */
static void
test_ejection_limit(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 10);
	struct mlk_sched_stats st;
	uint32_t a, i;

	(void)state;
	train_run_time(s, "k", 100, 5);
	for (i = 0; i < 100; i++) {
		for (a = 0; a < 10; a++) {
			assert_int_equal(enqueue(s, 1, "k", "t"), 0);
			mlk_sched_credit(s, a, four_credits);
			(void)mlk_sched_next(
			    s, 0, &(struct mlk_binding){ .task = 0 });
			mlk_sched_done(s, a, "k", "t", false,
			    a < 5 ? MLK_TASK_FAILED : MLK_TASK_DONE, 100, 0);
			(void)mlk_sched_remove(s, 1);
			mlk_sched_stats(s, &st);
			assert_true(st.ejected <= 3);
		}
	}
	assert_int_equal(st.ejected, 3);
	mlk_sched_destroy(s);
}

/*
 * Guards against tasks that go to another data centre while a local agent has
 * credits, and against a choice that ignores intents, disabled agents or the
 * agent to avoid.
 */
static void
test_choice_of_agent(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 4);
	struct mlk_sched_task t = {
		.task = 9, .kind = "k", .team = "t", .retry = true
	};
	struct mlk_binding b;
	uint32_t i;

	(void)state;
	train_run_time(s, "k", 100, 5);
	for (i = 0; i < 20; i++)
		assert_int_equal(enqueue(s, 10 + i, "k", "t"), 0);
	mlk_sched_credit(s, 0, four_credits);
	mlk_sched_credit(s, 1, four_credits);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_int_equal(b.agent, 0);
	set_intent(s, MLK_INTENT_PREFER_DC, "t", "dc1", 0);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_int_equal(b.agent, 1);
	set_intent(s, MLK_INTENT_AVOID_WORKER, "w0", "", 0);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_int_equal(b.agent, 1);
	set_intent(s, MLK_INTENT_DRAIN_DC, "dc0", "", 0);
	for (i = 0; i < 2; i++) {
		assert_true(mlk_sched_next(s, 0, &b));
		assert_int_equal(b.agent, 1);
	}
	assert_false(mlk_sched_next(s, 0, &b));
	set_intent(s, MLK_INTENT_DRAIN_WORKER, "w1", "", 0);
	mlk_sched_agent_enable(s, 0, false);
	assert_false(mlk_sched_next(s, 0, &b));
	mlk_sched_agent_enable(s, 0, true);
	t.avoid_agent = 0;
	assert_int_equal(mlk_sched_enqueue(s, &t, 0), 0);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_int_not_equal(b.task, 9); /* task 9 avoids w0 */
	assert_int_equal(mlk_sched_reclaim(s, 0, four_credits).any, 2);
	assert_false(mlk_sched_next(s, 0, &b));
	mlk_sched_destroy(s);
}

/*
 * Guards against a retried task that waits forever: all credits are of the
 * agent that it avoids, or there is no other agent.
 */
static void
test_need_for_avoided_agent(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 2);
	struct mlk_sched_task t = {
		.task = 1, .kind = "k", .team = "t", .avoid_agent = 0
	};
	struct mlk_demand demand;
	struct mlk_binding b;
	uint32_t agents[8];

	(void)state;
	mlk_sched_credit(s, 0, four_credits);
	assert_int_equal(mlk_sched_enqueue(s, &t, 0), 0);
	assert_false(mlk_sched_next(s, SEC, &b));
	assert_in_range(mlk_sched_need(s, SEC, agents, 8), 1, 2);
	mlk_sched_demand(s, SEC, &demand);
	assert_int_equal(demand.queued_long, 1);
	mlk_sched_agent_down(s, 1);
	assert_true(mlk_sched_next(s, SEC, &b));
	assert_int_equal(b.agent, 0);
	mlk_sched_destroy(s);
}

/*
 * Guards against NEED messages while nothing is queued or credits are left,
 * and against NEED more often than every 20 ms.
 */
static void
test_need(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 8);
	struct mlk_demand d;
	uint32_t agents[8];

	(void)state;
	train_run_time(s, "k", 100, 5);
	assert_int_equal(mlk_sched_need(s, SEC, agents, 8), 0);
	assert_int_equal(enqueue(s, 1, "k", "t"), 0);
	assert_in_range(mlk_sched_need(s, SEC, agents, 8), 1, 3);
	assert_int_equal(mlk_sched_need(s, SEC + 19 * MS, agents, 8), 0);
	assert_in_range(mlk_sched_need(s, SEC + 20 * MS, agents, 8), 1, 3);
	mlk_sched_demand(s, 0, &d);
	assert_int_equal(d.queued_short, 1);
	mlk_sched_credit(s, 0, four_credits);
	assert_int_equal(mlk_sched_need(s, 2 * SEC, agents, 8), 0);
	set_intent(s, MLK_INTENT_LONG_CAP, "", "", 400);
	mlk_sched_demand(s, 0, &d);
	assert_int_equal(d.queued_short, 0);
	assert_int_equal(d.known_slots, 64);
	assert_int_equal(d.long_cap, 400);
	mlk_sched_destroy(s);
}

/*
 * Guards against NEED for long work to agents that already know of it, and
 * against agents that are not told again once their report is out of date.
 */
static void
test_need_for_long_work(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 2);
	struct mlk_demand none = { 0 }, d;
	uint32_t agents[8];

	(void)state;
	train_run_time(s, "sheet", 3000, 5);
	assert_int_equal(enqueue(s, 1, "sheet", "t"), 0);
	mlk_sched_demand(s, SEC, &d);
	assert_int_equal(d.queued_long, 1);
	mlk_sched_demand_sent(s, 0, &d, SEC);
	assert_int_equal(mlk_sched_need(s, SEC + 200 * MS, agents, 8), 1);
	assert_int_equal(agents[0], 1);
	mlk_sched_demand_sent(s, 1, &d, SEC + 200 * MS);
	assert_int_equal(mlk_sched_need(s, SEC + 249 * MS, agents, 8), 0);
	assert_int_equal(mlk_sched_need(s, SEC + 250 * MS, agents, 8), 1);
	assert_int_equal(agents[0], 0);
	mlk_sched_demand_sent(s, 0, &d, SEC + 250 * MS);
	mlk_sched_demand_sent(s, 1, &none, SEC + 250 * MS);
	assert_int_equal(mlk_sched_need(s, SEC + 449 * MS, agents, 8), 1);
	assert_int_equal(agents[0], 1);
	mlk_sched_destroy(s);
}

/*
 * Guards against NEED to more agents at a time than short work can use: each
 * may reclaim a credit for the same task.
 */
static void
test_need_fanout(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 8);
	bool asked[8] = { false };
	uint32_t agents[8], i;
	size_t k, n;

	(void)state;
	train_run_time(s, "k", 100, 5);
	assert_int_equal(enqueue(s, 1, "k", "t"), 0);
	for (i = 0; i < 3; i++) {
		n = mlk_sched_need(s, SEC + 20 * i * MS, agents, 8);
		assert_int_equal(n, 3);
		for (k = 0; k < n; k++)
			asked[agents[k]] = true;
	}
	for (i = 0; i < 8; i++)
		assert_true(asked[i]);
	mlk_sched_destroy(s);
}

/*
 * Guards against short work that waits because no NEED is sent to agents that
 * already know of long work.
 */
static void
test_need_for_both_classes(void **state)
{
	struct mlk_sched *s = new_sched(MLK_POLICY_CREDITS, 2);
	struct mlk_demand d;
	uint32_t agents[8];

	(void)state;
	train_run_time(s, "sheet", 3000, 5);
	train_run_time(s, "plot", 100, 5);
	assert_int_equal(enqueue(s, 1, "sheet", "t"), 0);
	mlk_sched_demand(s, SEC, &d);
	mlk_sched_demand_sent(s, 0, &d, SEC);
	mlk_sched_demand_sent(s, 1, &d, SEC);
	assert_int_equal(mlk_sched_need(s, SEC + MS, agents, 8), 0);
	assert_int_equal(enqueue(s, 2, "plot", "t"), 0);
	assert_in_range(mlk_sched_need(s, SEC + 2 * MS, agents, 8), 1, 2);
	mlk_sched_destroy(s);
}

/*
 * Guards against the policies for comparison (least loaded, random) waiting
 * for credits, which they do not use.
 */
static void
test_baseline_policies(void **state)
{
	uint32_t agents[8], count[10] = { 0 }, i;
	struct mlk_binding b;
	struct mlk_demand d;
	struct mlk_sched *s;

	(void)state;
	s = new_sched(MLK_POLICY_LEAST_LOADED, 10);
	for (i = 0; i < 1000; i++) {
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
		assert_true(mlk_sched_next(s, 0, &b));
		count[b.agent]++;
	}
	for (i = 0; i < 10; i++)
		assert_int_equal(count[i], 100);
	mlk_sched_done(s, 3, "k", "t", false, MLK_TASK_DONE, 1, 0);
	assert_int_equal(enqueue(s, 1, "k", "t"), 0);
	assert_true(mlk_sched_next(s, 0, &b));
	assert_int_equal(b.agent, 3);
	mlk_sched_destroy(s);

	memset(count, 0, sizeof(count));
	s = new_sched(MLK_POLICY_RANDOM, 10);
	for (i = 0; i < 1000; i++) {
		assert_int_equal(enqueue(s, i, "k", "t"), 0);
		assert_true(mlk_sched_next(s, 0, &b));
		count[b.agent]++;
	}
	for (i = 0; i < 10; i++)
		assert_in_range(count[i], 60, 140);
	assert_int_equal(enqueue(s, 1, "k", "t"), 0);
	mlk_sched_demand(s, 0, &d);
	assert_int_equal(d.queued_short + d.queued_long + d.short_load, 0);
	assert_int_equal(mlk_sched_need(s, SEC, agents, 8), 0);
	mlk_sched_destroy(s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_task_classes),
		cmocka_unit_test(test_fair_shares),
		cmocka_unit_test(test_quota_and_urgency),
		cmocka_unit_test(test_admission),
		cmocka_unit_test(test_deadlines),
		cmocka_unit_test(test_removal_is_constant_time),
		cmocka_unit_test(test_ejection),
		cmocka_unit_test(test_ejection_limit),
		cmocka_unit_test(test_choice_of_agent),
		cmocka_unit_test(test_need),
		cmocka_unit_test(test_need_for_avoided_agent),
		cmocka_unit_test(test_need_fanout),
		cmocka_unit_test(test_need_for_long_work),
		cmocka_unit_test(test_need_for_both_classes),
		cmocka_unit_test(test_baseline_policies),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
