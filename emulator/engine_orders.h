#ifndef EMULATOR_ENGINE_ORDERS_H
#define EMULATOR_ENGINE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/* Effects of the orders to an engine, and their fencing numbers. */
struct engine_orders {
	uint64_t fence; /* highest seen */
	json_t *models; /* names of loaded models */
	json_t *log; /* last orders executed */
	char role[64];
	uint64_t executed;
	uint64_t executed_stale; /* with a fencing number below the highest */
	uint64_t refused;
};

enum order_outcome {
	ORDER_DONE,
	ORDER_STALE,
	ORDER_MALFORMED,
};

void orders_init(struct engine_orders *o);
void orders_release(struct engine_orders *o);
enum order_outcome orders_apply(struct engine_orders *o, const json_t *order,
				bool check_fencing);
json_t *orders_state(const struct engine_orders *o);

#endif /* EMULATOR_ENGINE_ORDERS_H */
