/*
 * Fuzz target for the adapter of the users' platform.  The first byte selects a
 * parser, the rest is its input.  Whatever is accepted must keep the bounds on
 * which the reducers rely.
 */
#include <stdlib.h>
#include <string.h>

#include "../platform/site.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check(bool holds)
{
	if (!holds)
		abort();
}

static void
fuzz_announcement(const uint8_t *data, size_t size)
{
	struct mlk_announcement a;

	if (!site_announcement_parse(&a, "i-1", data, size))
		return;
	check(a.info.boot > 0 && a.info.boot < UINT64_MAX / 2);
	check(a.seq < UINT64_MAX / 2);
	check(a.clock_ms >= 0 && a.clock_ms <= INT64_MAX >> 9);
	check(a.info.capacity.cpu > 0);
	check(a.info.pool[0] != '\0');
}

static void
fuzz_routing(const uint8_t *data, size_t size)
{
	struct mlk_routing routing;
	uint32_t i;
	char why[SITE_WHY_MAX];

	if (!site_routing_parse(&routing, data, size, why)) {
		check(why[0] != '\0' && routing.nroutes == 0);
		return;
	}
	check(routing.version > 0 && routing.nroutes <= MLK_ROUTES_MAX);
	for (i = 0; i < routing.nroutes; i++)
		check(routing.routes[i].stretch <= 1000 * 1000);
	mlk_routing_clear(&routing);
}

/*
 * The check must accept exactly what the parser of the entries accepts, give
 * each finding a place, and what an entry serves must parse to the same table.
 */
static void
fuzz_check(const uint8_t *data, size_t size)
{
	struct mlk_routing checked, parsed, again;
	const struct site_finding *f;
	struct site_findings *findings;
	char why[SITE_WHY_MAX], *text;
	uint32_t i, last = 1;
	GArray *diff;
	json_t *json;

	findings = site_config_check(&checked, data, size);
	for (i = 0; (f = site_findings_at(findings, i)) != NULL; i++) {
		check(f->line >= last && f->text[0] != '\0');
		last = f->line;
	}
	check(site_routing_parse(&parsed, data, size, why) ==
	    (checked.version > 0));
	check(parsed.version > 0 ||
	    site_findings_count(findings, SITE_ERROR) > 0);
	if (parsed.version > 0) {
		json = site_routing_json(&parsed);
		text = json_dumps(json, JSON_COMPACT);
		check(text != NULL &&
		    site_routing_parse(
			&again, (const guchar *)text, strlen(text), why));
		diff = site_config_diff(&checked, &again);
		check(diff->len == 0);
		(void)g_array_free(diff, TRUE);
		mlk_routing_clear(&again);
		json_decref(json);
		free(text);
	}
	site_findings_destroy(findings);
	mlk_routing_clear(&checked);
	mlk_routing_clear(&parsed);
}

static void
fuzz_rows(const uint8_t *data, size_t size)
{
	const struct site_row *row;
	struct site_rows rows;
	char addr[MLK_ADDR_MAX];
	guint i;

	(void)site_rows_parse(&rows, data, size);
	for (i = 0; i < rows.rows->len; i++) {
		row = &g_array_index(rows.rows, struct site_row, i);
		check(row->key != NULL && row->key[0] != '\0');
		check(row->version > 0);
		if (row->value != NULL &&
		    site_entry_address_parse(addr, row->value, row->len))
			check(mlk_addr_valid(addr));
	}
	site_rows_clear(&rows);
}

static void
fuzz_address(const uint8_t *data, size_t size)
{
	char addr[MLK_ADDR_MAX], *text;

	if (site_entry_address_parse(addr, data, size))
		check(mlk_addr_valid(addr));
	text = g_strndup((const char *)data, size);
	if (mlk_addr_valid(text))
		check(strchr(text, ':') != NULL);
	g_free(text);
}

static void
fuzz_job(const uint8_t *data, size_t size)
{
	struct site_job job;
	uint32_t i, n = 0;

	if (site_job_parse(&job, "/q/5c0e7a21d94b36f8", data, size)) {
		check(job.work.nsteps >= 1 && job.work.nsteps <= MLK_STEPS_MAX);
		for (i = 0; i < job.work.nsteps; i++)
			n += job.work.steps[i].count;
		check(n >= 1 && n <= MLK_TASKS_MAX);
		check(job.work.spec_len <= MLK_SPEC_MAX);
	}
	site_job_clear(&job);
}

static void
fuzz_listing(const uint8_t *data, size_t size)
{
	struct mlk_net_event nev = { .type = MLK_NET_HTTP_RESPONSE };
	struct mlk_runner_event ev = { .type = MLK_RUNNER_ORDER };
	struct site_listing listing;
	uint32_t i;

	nev.u.response.result = MLK_HTTP_OK;
	nev.u.response.status = 200;
	nev.u.response.body = data;
	nev.u.response.body_len = size;
	site_listing_init(&listing);
	site_order_answer(MLK_ORDER_LIST, &nev, &ev, &listing);
	check(ev.u.order.clock_ms >= 0);
	for (i = 0; i < ev.u.order.nrunning; i++) {
		check(ev.u.order.running[i].percent <= 100);
		check(ev.u.order.running[i].name.run > 0);
	}
	for (i = 0; i < ev.u.order.nended; i++) {
		check(ev.u.order.ended[i].number > 0);
		check(ev.u.order.ended[i].number < UINT64_MAX / 2);
		check(ev.u.order.ended[i].name.id[0] != '\0');
	}
	site_listing_clear(&listing);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return (0);
	switch (data[0]) {
	case 'a':
		fuzz_announcement(data + 1, size - 1);
		break;
	case 'm':
		fuzz_routing(data + 1, size - 1);
		break;
	case 'c':
		fuzz_check(data + 1, size - 1);
		break;
	case 'r':
		fuzz_rows(data + 1, size - 1);
		break;
	case 'e':
		fuzz_address(data + 1, size - 1);
		break;
	case 'j':
		fuzz_job(data + 1, size - 1);
		break;
	case 'l':
		fuzz_listing(data + 1, size - 1);
		break;
	default:
		break;
	}
	return (0);
}
