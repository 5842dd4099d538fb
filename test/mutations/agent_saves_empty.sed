# On a planned stop the agent saves a record without its own starts.
s/for (i = 0; i < n; i++) {/for (i = 0; i < n \&\& n > UINT32_MAX; i++) {/
