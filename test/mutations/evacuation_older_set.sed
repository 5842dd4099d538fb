s/set->version <= e->version/set->version == e->version/
