s/r->now >= w->leases_expired_at)/r->now >= w->leases_expired_at - 600 * MS)/
