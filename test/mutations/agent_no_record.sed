# The agent starts a task again that is on its record.
s/if (answer_from_record(agent, entry, task)) {/if (answer_from_record(agent, entry, task) \&\& false) {/
