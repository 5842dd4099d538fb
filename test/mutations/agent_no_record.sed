# The agent starts a task that is on its record again.
s/if (answer_from_record(agent, entry, task)) {/if (answer_from_record(agent, entry, task) \&\& false) {/
