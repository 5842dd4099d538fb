/^dispatch_evacuations_attached/,/^}/s/send_to_agent(d, a);//
