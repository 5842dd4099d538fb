/*
 * Private to the driver: its state, the calls in flight and the scheduled
 * actions.
 */
#ifndef MLK_LOAD_DRIVER_H
#define MLK_LOAD_DRIVER_H

#include <glib.h>

#include <monsoonlock/net.h>

#include "run.h"

enum call_type {
	CALL_SUBMIT,
	CALL_CANCEL,
	CALL_IDS, /* GET /v1/ids */
	CALL_TASK, /* to an endpoint */
	CALL_CONTROL, /* POST /control to a stand-in */
};

struct call {
	uint64_t id;
	enum call_type type;
	uint32_t target;
	uint32_t lane; /* 0: a connection for this call only */
	uint32_t job;
	uint32_t index; /* CALL_TASK: task; CALL_SUBMIT: try, from 0 */
};

enum action_type {
	ACTION_RETRY, /* send a submission as try number `index` */
	ACTION_RESUBMIT, /* send a job again before it is answered */
	ACTION_CANCEL,
	ACTION_FAULT, /* start fault `index` */
	ACTION_UNDO, /* end fault `index` */
};

struct action {
	int64_t at; /* ns after the start of the run */
	enum action_type type;
	uint32_t job;
	uint32_t index;
};

struct target {
	GArray *free_lanes; /* uint32_t */
	uint32_t in_flight; /* calls */
	int64_t avoid_until; /* ns after the start, since a call was lost */
	GQueue *ids; /* issued by this entry, unused */
	GQueue *waiting; /* struct id_waiter */
	bool ids_requested; /* a CALL_IDS is in flight */
};

/* A submission that is waiting for an issued id. */
struct id_waiter {
	uint32_t job;
	uint32_t try;
};

struct driver {
	struct mlk_load_run *run;
	struct mlk_loop *loop;
	struct mlk_load_observer *observer;
	int64_t start; /* of the run, monotonic ns */
	int64_t now; /* ns after the start */
	int64_t last_arrival; /* ns after the start */
	int64_t next_sample; /* ns after the start */
	uint32_t next_job;
	uint32_t open_jobs; /* sent, without an answer */
	uint64_t next_call;
	uint32_t next_lane;
	GHashTable *calls; /* &call->id -> struct call */
	GSequence *actions; /* struct action, by time */
	struct target *targets;
	struct mlk_rng rng; /* for cancel waves and ties between endpoints */
	char *prefix; /* of the ids that are not issued */
	char *headers; /* of calls to entries */
	struct mlk_error failure; /* of the deployment; code 0: none */
};

/* driver.c */
void driver_schedule(struct driver *d, int64_t at, enum action_type type,
    uint32_t job, uint32_t index);

/* driver_calls.c */
void driver_submit(struct driver *d, uint32_t job, uint32_t try);
void driver_cancel(struct driver *d, uint32_t job);
void driver_control(
    struct driver *d, const struct mlk_deploy_process *p, const char *body);
void driver_response(struct driver *d, const struct mlk_net_event *ev);
void driver_close_job(
    struct driver *d, uint32_t job, const struct mlk_load_verdict *verdict);

/* driver_body.c: bodies and payloads of calls */
char *driver_job_body(
    const struct mlk_load_run *run, uint32_t job, size_t *len);
char *driver_task_payload(
    const struct mlk_load_run *run, uint32_t job, uint32_t index);

#endif
