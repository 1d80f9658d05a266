#ifndef LIB_CONFIG_H
#define LIB_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/settings.h"

/* The operators' file, which is applied as one transaction.  References between
 * its tables are by name and are validated by config_parse(). */

enum resume_preference {
	RESUME_LATENCY, /* "latency": move generations early */
	RESUME_WORK, /* "work": avoid repeated work */
};

enum service_kind {
	SERVICE_MODEL, /* "model": completions on model engines */
	SERVICE_PLAIN, /* "plain": calls forwarded unchanged */
};

struct config_model {
	char *name;
	int64_t context_tokens; /* prompt and completion together */
};

struct config_organisation {
	char *name;
	char *key; /* bearer token */
	double weight; /* of its fair share, > 0 */
	int64_t max_running; /* concurrent requests in the fleet */
	int64_t max_tokens; /* per generation */
	int64_t shard_size; /* instances; 0: derived from weight */
	struct string_list services; /* empty: all */
};

struct config_service {
	char *name;
	int kind; /* enum service_kind */
	char *model; /* name, for SERVICE_MODEL */
	int resume; /* enum resume_preference */
	struct string_list idempotent; /* "METHOD /path/prefix" */
	int64_t timeout_ms; /* of a plain call; idle timeout of a stream */
	int64_t queue_max; /* requests queued at one instance */
};

struct config_endpoint {
	char *name;
	char *service;
	char *address;
	char *zone;
	bool checks_fencing;
	bool leaving;
	int64_t slots; /* concurrent requests */
};

struct config_objective {
	char *name;
	char *service; /* NULL: all */
	char *organisation; /* NULL: all */
	int measure; /* enum objective_measure */
	double threshold; /* ms, or ratio; unused for refusals */
	double target; /* fraction of good events, 0 < target < 1 */
};

enum objective_measure {
	OBJECTIVE_RESUME_LATENCY, /* "resume-latency", threshold in ms */
	OBJECTIVE_EXTRA_WORK, /* "extra-work", threshold a ratio */
	OBJECTIVE_REFUSALS, /* "refusals" */
	OBJECTIVE_FIRST_TOKEN, /* "first-token", threshold in ms */
};

struct config {
	unsigned refs;
	uint64_t version; /* 0: no configuration is active yet */
	char *text; /* the file as accepted */
	size_t text_len;
	char *cursor_key; /* secret that authenticates resume cursors */
	int64_t entries_ttl_s; /* caching time of the entries list */
	struct config_model *models;
	size_t n_models;
	struct config_organisation *organisations;
	size_t n_organisations;
	struct config_service *services;
	size_t n_services;
	struct config_endpoint *endpoints;
	size_t n_endpoints;
	struct config_objective *objectives;
	size_t n_objectives;
};

struct config *config_parse(const char *text, size_t len, const char *file,
			    uint64_t version, char *err, size_t err_size);
struct config *config_ref(struct config *c);
void config_unref(struct config *c);
const struct config_organisation *config_organisation_by_key(
	const struct config *c, const char *key);
const struct config_service *config_service_by_name(const struct config *c,
						    const char *name);
const struct config_service *config_service_by_model(const struct config *c,
						     const char *model);
const struct config_endpoint *config_endpoint_by_name(const struct config *c,
						      const char *name);

#endif /* LIB_CONFIG_H */
