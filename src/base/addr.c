/*
 * Addresses of the form "ip:port".
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/base.h>

/*
 * Tells whether text is "ip:port" with a numeric IP address, in brackets if it
 * is IPv6, and a port in 1..65535.  Host names are rejected: a lookup would
 * block the event loop.
 */
bool
mlk_addr_valid(const char *text)
{
	unsigned char buf[sizeof(struct in6_addr)];
	char host[INET6_ADDRSTRLEN], *end;
	const char *colon;
	unsigned long port;
	size_t len;
	int family;

	colon = strrchr(text, ':');
	if (colon == NULL || !isdigit((unsigned char)colon[1]))
		return (false);
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > UINT16_MAX)
		return (false);
	len = (size_t)(colon - text);
	family = AF_INET;
	if (len > 2 && text[0] == '[' && text[len - 1] == ']') {
		family = AF_INET6;
		text++;
		len -= 2;
	}
	if (len >= sizeof(host))
		return (false);
	memcpy(host, text, len);
	host[len] = '\0';
	return (inet_pton(family, host, buf) == 1);
}
