s/r->worker\.fence++;/r->worker.fence += 0;/
