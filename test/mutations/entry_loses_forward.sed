# The entry does not repeat a forwarded request whose link to the owner closed.
/^forward_link_lost/,/^}/s/r->state == REQ_FORWARDED/r->state > REQ_JOINED/
