/dispatch_evacuations_newer(d, link, msg->u.ping.evacuations);/d
