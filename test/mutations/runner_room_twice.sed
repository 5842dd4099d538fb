s/mlk_resources_add(&r->reserved, &run->resources);//
