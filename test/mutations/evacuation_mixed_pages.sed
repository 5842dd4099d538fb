s/t->catching_up = t->first != t->last;/t->catching_up = false;/
