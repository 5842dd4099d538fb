# The agent starts tasks of owners whose epoch is fenced.
s/if (task->epoch < agent->epoch\[.*\]) {/if (task->epoch == UINT32_MAX) {/
