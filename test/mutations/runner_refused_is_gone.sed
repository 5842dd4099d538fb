s/^	if (++w->not_sent == 1 .*/	if (w->not_sent == 1)\
		runner_runs_lost(r, "mutant");\
&/
