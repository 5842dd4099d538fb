s/a->evacuations_confirmed > version)/a == NULL \&\& version == 0)/
