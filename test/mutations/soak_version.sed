s/routing->version <= d->routing\.version/routing->version == d->routing.version/
