#ifndef EMULATOR_ENGINE_CACHE_H
#define EMULATOR_ENGINE_CACHE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <jansson.h>

struct cache_block;
TAILQ_HEAD(cache_blocks, cache_block);

/* A prefix cache of limited size with LRU eviction, and the events that it
 * publishes with a delay and with losses. */
struct engine_cache {
	void *tree; /* blocks by hash */
	struct cache_blocks blocks; /* most recently used first */
	int64_t tokens; /* currently cached */
	int64_t max_tokens;
	json_t *events;
	uint64_t event_seq;
	double event_lag_ms;
	double event_loss; /* share of events never published, 0..1 */
	uint64_t random_state; /* generator state for event losses */
};

void cache_init(struct engine_cache *c, uint64_t seed);
void cache_release(struct engine_cache *c);
uint64_t cache_lookup(struct engine_cache *c, const char *prompt,
		      size_t prompt_len, const char *text, size_t text_len,
		      uint64_t *total);
json_t *cache_events(struct engine_cache *c, uint64_t since);

#endif /* EMULATOR_ENGINE_CACHE_H */
