# The entry exits from its planned stop before all requests are answered.
s/return (g_hash_table_size(e->requests) == 0 .*);/return (!config_busy(e));/
