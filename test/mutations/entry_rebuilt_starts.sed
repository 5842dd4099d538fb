# The entry starts tasks of a rebuilt job that may have been reported as not run.
s/j->startable = !rebuilt || j->was_open;/j->startable = !rebuilt || j->ntasks > 0;/
