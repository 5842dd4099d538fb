/*
 * The list of effects that reducers append to.
 */
#include <stdlib.h>
#include <string.h>

#include <monsoonlock/core.h>

#define EFFECTS_FIRST_CAP 16

static void
effect_clear(struct mlk_effect *fx)
{
	struct mlk_admin_reply *reply;

	switch (fx->type) {
	case MLK_FX_SEND:
		mlk_msg_clear(&fx->u.send.msg);
		break;
	case MLK_FX_STORE:
		mlk_store_op_clear(&fx->u.store);
		break;
	case MLK_FX_ANSWER:
		mlk_job_answer_clear(&fx->u.answer.answer);
		break;
	case MLK_FX_REPLY_IDS:
		free(fx->u.ids.ids);
		break;
	case MLK_FX_REPLY_ADMIN:
		reply = &fx->u.admin.reply;
		mlk_config_clear(&reply->config);
		mlk_plan_destroy(reply->plan);
		free(reply->audits);
		free(reply->lines);
		break;
	case MLK_FX_START_TASK:
		mlk_blob_clear(&fx->u.start.payload);
		break;
	case MLK_FX_CONNECT:
	case MLK_FX_CLOSE_LINK:
	case MLK_FX_REPLY_ERROR:
	case MLK_FX_ABORT_TASK:
	case MLK_FX_LOG:
	case MLK_FX_EXIT:
		break;
	}
}

/*
 * Appends a zeroed effect and returns it for the caller to fill, or NULL
 * when out of memory.  The pointer is valid until the next push.
 */
struct mlk_effect *
mlk_effects_push(struct mlk_effects *fx, enum mlk_effect_type type)
{
	struct mlk_effect *items, *item;
	size_t cap;

	if (fx->n == fx->cap) {
		cap = fx->cap == 0 ? EFFECTS_FIRST_CAP : fx->cap * 2;
		items = realloc(fx->items, cap * sizeof(*items));
		if (items == NULL)
			return (NULL);
		fx->items = items;
		fx->cap = cap;
	}
	item = &fx->items[fx->n++];
	memset(item, 0, sizeof(*item));
	item->type = type;
	return (item);
}

/*
 * Frees what the effects own and empties the list, which keeps its capacity.
 */
void
mlk_effects_clear(struct mlk_effects *fx)
{
	size_t i;

	for (i = 0; i < fx->n; i++)
		effect_clear(&fx->items[i]);
	fx->n = 0;
}

/*
 * Frees the effects and the list itself.
 */
void
mlk_effects_free(struct mlk_effects *fx)
{
	mlk_effects_clear(fx);
	free(fx->items);
	memset(fx, 0, sizeof(*fx));
}
