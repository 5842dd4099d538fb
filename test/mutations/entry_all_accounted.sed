# The entry treats every agent as accounted for.
s/missing |= ~a->known;/missing |= ~a->known \& 0;/
