/*
 * A TCP relay between processes, in a thread of the test.  It simulates a
 * network that loses packets, delays them or cuts links.
 *
 * The relay takes the name of the client of a connection from the first
 * message, unless the listener serves one process only.  The bytes of a
 * direction that is cut are held back and delivered after the cut, as TCP would
 * retransmit them; so is the end of the connection.
 */
#ifndef MLK_TEST_RELAY_H
#define MLK_TEST_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct relay;

struct relay *relay_create(void);
void relay_destroy(struct relay *r); /* NULL is allowed */

/*
 * Listens on `addr`, or on a free port of 127.0.0.1 when that is NULL, and
 * relays connections of process `from` to process `to` at the address `target`.
 * With `from` "" the client's name is taken from its first message.  Returns
 * the address of the listener; a repeated call for the same processes returns
 * the same one.
 */
const char *relay_listen(struct relay *r, const char *from, const char *to,
    const char *addr, const char *target);

/* Holds back what one process sends to another, until called with false. */
void relay_cut(struct relay *r, const char *from, const char *to, bool cut);
/* The same for both directions. */
void relay_cut_both(struct relay *r, const char *a, const char *b, bool cut);
/*
 * Closes the connections between two processes, and new ones on arrival, until
 * called with false.
 */
void relay_break(struct relay *r, const char *a, const char *b, bool broken);
/* Delays what one process sends to another by `ms` milliseconds. */
void relay_delay(
    struct relay *r, const char *from, const char *to, uint32_t ms);
/*
 * Makes the open connections between two processes, in either direction,
 * deliver nothing more; neither side sees an end.  "" is any process.
 */
void relay_silence(struct relay *r, const char *a, const char *b);
/* Connects new clients of an entry to another address from now on. */
void relay_retarget(struct relay *r, const char *to, const char *addr);
/*
 * Returns how many connections a process has opened to the address of an entry.
 */
uint32_t relay_opened(struct relay *r, const char *from, const char *to);

#endif
