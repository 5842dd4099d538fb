s/^	if (run->boot != r->worker.boot)/	if (false)/
