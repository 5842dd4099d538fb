# The entry treats a new incarnation of the same agent process as a restart.
s/before < msg->u.hello.first_incarnation/true/
