s/^\t\ton_drop(r, e, msg);/\t\t(void)on_drop;/
