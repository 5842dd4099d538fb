s/d->now + DETACHED_NS/d->now + 100 * MS/
