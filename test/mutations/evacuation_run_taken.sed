/^	    !runner_evacuated(r) &&$/d
