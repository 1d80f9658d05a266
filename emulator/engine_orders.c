/*
 * Orders to the stand-in engine.  An engine that checks fencing numbers
 * refuses an order below the highest number seen; one that does not executes
 * and counts it, so that tests detect orders of a stale lease holder.
 */
#include "emulator/engine_orders.h"

#include <bsd/string.h>
#include <string.h>

#define LOG_ORDERS_MAX 64

static bool execute(struct engine_orders *o, const char *kind,
		    const json_t *order);
static bool unload(struct engine_orders *o, const char *model);
static size_t model_index(const struct engine_orders *o, const char *model);

/* Initializes the state. */
void orders_init(struct engine_orders *o)
{
	*o = (struct engine_orders){ .models = json_array(),
				     .log = json_array() };
}

/* Frees the state. */
void orders_release(struct engine_orders *o)
{
	json_decref(o->models);
	json_decref(o->log);
}

/* Executes an order, or refuses it. */
enum order_outcome orders_apply(struct engine_orders *o, const json_t *order,
				bool check_fencing)
{
	const json_t *fence = json_object_get(order, "fence");
	const char *kind = json_string_value(json_object_get(order, "order"));
	uint64_t number;

	if (!json_is_integer(fence) || json_integer_value(fence) < 0 || !kind)
		return ORDER_MALFORMED;
	number = (uint64_t)json_integer_value(fence);
	if (check_fencing && number < o->fence) {
		o->refused++;
		return ORDER_STALE;
	}
	if (!execute(o, kind, order))
		return ORDER_MALFORMED;
	o->executed++;
	if (number < o->fence)
		o->executed_stale++;
	else
		o->fence = number;
	json_array_append_new(o->log, json_deep_copy(order));
	if (json_array_size(o->log) > LOG_ORDERS_MAX)
		json_array_remove(o->log, 0);
	return ORDER_DONE;
}

/* Returns the state and counts as JSON. */
json_t *orders_state(const struct engine_orders *o)
{
	return json_pack("{s:I, s:s, s:O, s:O, s:I, s:I, s:I}", "fence",
			 (json_int_t)o->fence, "role", o->role, "models",
			 o->models, "log", o->log, "executed",
			 (json_int_t)o->executed, "executed_stale",
			 (json_int_t)o->executed_stale, "refused",
			 (json_int_t)o->refused);
}

/* Updates the models or the role; false if the order is malformed. */
static bool execute(struct engine_orders *o, const char *kind,
		    const json_t *order)
{
	const char *model = json_string_value(json_object_get(order, "model"));
	const char *role = json_string_value(json_object_get(order, "role"));

	if (strcmp(kind, "set-role") == 0)
		return role && strlcpy(o->role, role, sizeof(o->role)) <
				       sizeof(o->role);
	if (!model)
		return false;
	if (strcmp(kind, "unload-model") == 0)
		return unload(o, model);
	if (strcmp(kind, "load-model") != 0)
		return false;
	if (model_index(o, model) == json_array_size(o->models))
		json_array_append_new(o->models, json_string(model));
	return true;
}

/* Unloads a model; succeeds if it is not loaded. */
static bool unload(struct engine_orders *o, const char *model)
{
	size_t i = model_index(o, model);

	if (i < json_array_size(o->models))
		json_array_remove(o->models, i);
	return true;
}

/* Returns the index of a loaded model, or the number of models. */
static size_t model_index(const struct engine_orders *o, const char *model)
{
	size_t i;
	json_t *loaded;

	json_array_foreach(o->models, i,
			   loaded) if (strcmp(json_string_value(loaded),
					      model) == 0) return i;
	return json_array_size(o->models);
}
