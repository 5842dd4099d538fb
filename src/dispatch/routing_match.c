/*
 * Selects the route of a request: the longest matching path prefix among the
 * routes of its host.
 */
#include <string.h>
#include <strings.h>

#include <monsoonlock/dispatch.h>

/*
 * Compares a Host header, which may include a port, with the host of a route.
 */
static bool
host_equal(const char *header, const char *host)
{
	size_t len;

	len = strcspn(header, ":");
	return (strlen(host) == len && strncasecmp(header, host, len) == 0);
}

const struct mlk_route *
mlk_routing_match(
    const struct mlk_routing *routing, const char *host, const char *path)
{
	const struct mlk_route *route, *best = NULL;
	size_t len, best_len = 0;
	uint32_t i;

	for (i = 0; i < routing->nroutes; i++) {
		route = &routing->routes[i];
		len = strlen(route->prefix);
		if ((best != NULL && len <= best_len) ||
		    strncmp(path, route->prefix, len) != 0 ||
		    !host_equal(host, route->host))
			continue;
		best = route;
		best_len = len;
	}
	return (best);
}
