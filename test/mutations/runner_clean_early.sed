s/r->state = MLK_WORKER_AWAY;/r->state = MLK_WORKER_AWAY; r->predecessor_done = true;/
