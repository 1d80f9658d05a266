#ifndef EMULATOR_FAULT_MAPPING_H
#define EMULATOR_FAULT_MAPPING_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>
#include <uv.h>

/* A listening address whose connections are forwarded to a target, and the
 * faults injected into them. */
struct fault_mapping;

struct fault_mapping *fault_mapping_new(const char *address,
					const char *target);
bool fault_mapping_open(struct fault_mapping *m, uv_loop_t *loop, char *err,
			size_t err_size);
void fault_mapping_close(struct fault_mapping *m);
void fault_mapping_free(struct fault_mapping *m);
const char *fault_mapping_address(const struct fault_mapping *m);
bool fault_settings_check(const json_t *settings, char *err, size_t err_size);
void fault_mapping_apply(struct fault_mapping *m, const json_t *settings);
json_t *fault_mapping_state(const struct fault_mapping *m);

#endif /* EMULATOR_FAULT_MAPPING_H */
