# The agent starts tasks from STARTs that name another incarnation.
s/^	if (incarnation < agent->first_incarnation ||$/	if (false \&\& incarnation < agent->first_incarnation \&\&/
s/incarnation != agent->incarnation ?/false ?/
