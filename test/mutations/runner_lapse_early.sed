s/r->now < \(w\|order\)->leases_expired_at)/r->now < \1->leases_expired_at - 600 * MS)/
