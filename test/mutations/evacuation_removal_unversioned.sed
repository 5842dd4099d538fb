s/^\tt->changed = MAX(t->changed, version);/\tif (!removed) t->changed = MAX(t->changed, version);/
