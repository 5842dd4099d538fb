# The entry sends work to an agent that is leaving.
s/enabled = !a->leaving \&\&/enabled =/
