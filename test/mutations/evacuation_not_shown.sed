s/e->evacuations_shown < r->evacuations_changed/e == NULL/
