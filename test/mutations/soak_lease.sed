s/^\tint64_t lease = (int64_t)r->options\.entry_lease_ms \* MS;/&\n\n\te->last_alive = r->now;/
