/*
 * A TCP relay between processes, in a thread of the test.  It stands in for a
 * network that loses packets, delays them or cuts links.
 *
 * A connection to an entry is told apart by the name in its first message,
 * unless its listener serves one process only.  Bytes of a direction that is
 * cut are held, as TCP sends them again after the cut; the end of a connection
 * is held with them.
 */
#ifndef MLK_TEST_RELAY_H
#define MLK_TEST_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct relay;

struct relay *relay_create(void);
void relay_destroy(struct relay *r); /* NULL is allowed */

/*
 * Returns the address that stands for target on the way from one process to
 * another; from is "" where the first message tells it.  Listens on addr, or
 * on a free port when that is NULL.  Asked again, returns the same.
 */
const char *relay_listen(struct relay *r, const char *from, const char *to,
    const char *addr, const char *target);

/* Packets from one process to another are lost, or pass again. */
void relay_cut(struct relay *r, const char *from, const char *to, bool cut);
/* Both directions. */
void relay_part(struct relay *r, const char *a, const char *b, bool cut);
/* Closes the connections between two processes, and new ones at once. */
void relay_break(struct relay *r, const char *a, const char *b, bool broken);
/* Packets from one process to another take up to so long; 0: no time. */
void relay_delay(
    struct relay *r, const char *from, const char *to, uint32_t ms);
/*
 * What is open between two processes, either way, delivers nothing more and
 * does not end; "" stands for any process.
 */
void relay_silence(struct relay *r, const char *a, const char *b);
/* Another process answers at the address of an entry from now on. */
void relay_retarget(struct relay *r, const char *to, const char *addr);
/* How many connections a process has opened to the address of an entry. */
uint32_t relay_opened(struct relay *r, const char *from, const char *to);

#endif
