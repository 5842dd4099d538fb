/^mlk_evacuation_table_begin/,/^}/s/end_read(t);/if (t->reading != NULL) return;/
