s/r->now >= w->lapse_at)/r->now >= w->lapse_at - 600 * MS)/
