s/!runner_superseded(r) && !runner_evacuated(r) &&/!runner_superseded(r) \&\&/
