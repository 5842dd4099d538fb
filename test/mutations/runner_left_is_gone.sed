/^runner_leave_due/,/^}/s/^	if (w->left_at != 0) {/&\
		runner_runs_lost(r, "mutant");/
