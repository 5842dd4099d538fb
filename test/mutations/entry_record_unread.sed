# The entry counts an agent as accounted for before reading its saved record.
s/if (!a->has_row || a->row.record_at == 0 ||/if (!a->has_row || a->row.record_at <= e->wall ||/
