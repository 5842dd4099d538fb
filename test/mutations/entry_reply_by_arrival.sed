# The entry matches a FORWARD_REPLY to the oldest forwarded request, not by its id.
/^forward_reply/,/^}/s/r = g_hash_table_lookup(e->requests, &id);/r = id == 0 ? NULL : g_queue_peek_head(\&l->peer->forwards);/
