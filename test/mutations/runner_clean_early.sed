s/r->state = MLK_WORKER_UNAVAILABLE;/r->state = MLK_WORKER_UNAVAILABLE; r->predecessor_done = true;/
