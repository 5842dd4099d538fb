s/mlk_room_add(&r->reserved, &run->room);//
