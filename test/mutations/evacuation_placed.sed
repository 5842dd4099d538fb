s/a->has_info && !a->evacuated &&/a->has_info \&\&/
