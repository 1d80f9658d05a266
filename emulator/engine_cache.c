/*
 * The prefix cache of the stand-in engine.  A prompt and the text that follows
 * it are divided into blocks of tokens; a block is identified by the hash of
 * everything up to its end.  Prompt tokens have four bytes; tokens of the text
 * end with a space.
 */
#include "emulator/engine_cache.h"

#include <search.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "emulator/chain.h"
#include "emulator/standin.h"
#include "lib/xalloc.h"

#define BLOCK_TOKENS 16
#define EVENTS_MAX 4096

struct cache_block {
	uint64_t hash;
	uint64_t prefix_tokens;
	TAILQ_ENTRY(cache_block) link;
};

static void touch(struct engine_cache *c, uint64_t hash, uint64_t tokens,
		  bool *known);
static void evict_oldest(struct engine_cache *c);
static void publish(struct engine_cache *c, const char *op,
		    const struct cache_block *b);
static double next_random(struct engine_cache *c);
static int compare_blocks(const void *a, const void *b);

/* Initializes an empty cache; the caller sets max_tokens and the event
 * settings. */
void cache_init(struct engine_cache *c, uint64_t seed)
{
	TAILQ_INIT(&c->blocks);
	c->tree = NULL;
	c->tokens = 0;
	c->events = json_array();
	c->event_seq = 0;
	c->random_state = seed;
}

/* Frees the blocks and the events. */
void cache_release(struct engine_cache *c)
{
	struct cache_block *b;

	while ((b = TAILQ_FIRST(&c->blocks))) {
		TAILQ_REMOVE(&c->blocks, b, link);
		tdelete(b, &c->tree, compare_blocks);
		free(b);
	}
	json_decref(c->events);
}

/* Looks up a prompt and its text and adds their blocks.  Returns the number of
 * tokens that were cached; *total is set to the number of all tokens. */
uint64_t cache_lookup(struct engine_cache *c, const char *prompt,
		      size_t prompt_len, const char *text, size_t text_len,
		      uint64_t *total)
{
	XXH64_state_t state;
	uint64_t tokens = 0;
	uint64_t cached = 0;
	bool known = true;
	size_t start = 0;
	size_t i;

	XXH64_reset(&state, 0);
	for (i = 0; i < prompt_len; i += CHAIN_PROMPT_TOKEN_BYTES) {
		size_t n = prompt_len - i;

		XXH64_update(&state, prompt + i,
			     n < CHAIN_PROMPT_TOKEN_BYTES
				     ? n
				     : CHAIN_PROMPT_TOKEN_BYTES);
		if (++tokens % BLOCK_TOKENS)
			continue;
		touch(c, XXH64_digest(&state), tokens, &known);
		cached = known ? tokens : cached;
	}
	XXH64_update(&state, "", 1);
	for (i = 0; i < text_len; i++) {
		if (text[i] != ' ')
			continue;
		XXH64_update(&state, text + start, i + 1 - start);
		start = i + 1;
		if (++tokens % BLOCK_TOKENS)
			continue;
		touch(c, XXH64_digest(&state), tokens, &known);
		cached = known ? tokens : cached;
	}
	while (c->tokens > c->max_tokens)
		evict_oldest(c);
	*total = tokens;
	return cached;
}

/* Returns the events after sequence number since whose delay is over. */
json_t *cache_events(struct engine_cache *c, uint64_t since)
{
	double limit = standin_now_ms() - c->event_lag_ms;
	json_t *list = json_array();
	uint64_t next = since;
	json_t *event;
	size_t i;

	json_array_foreach(c->events, i, event)
	{
		json_int_t seq =
			json_integer_value(json_object_get(event, "seq"));
		double made =
			json_number_value(json_object_get(event, "made_ms"));

		if ((uint64_t)seq <= since || made > limit)
			continue;
		json_array_append(list, event);
		next = (uint64_t)seq;
	}
	return json_pack("{s:I, s:o}", "next", (json_int_t)next, "events",
			 list);
}

/* Marks a block as most recently used, adding it if it is new; clears *known
 * if it was not cached. */
static void touch(struct engine_cache *c, uint64_t hash, uint64_t tokens,
		  bool *known)
{
	struct cache_block key = { .hash = hash };
	struct cache_block **found = tfind(&key, &c->tree, compare_blocks);
	struct cache_block *b;

	if (found) {
		b = *found;
		TAILQ_REMOVE(&c->blocks, b, link);
		TAILQ_INSERT_HEAD(&c->blocks, b, link);
		return;
	}
	*known = false;
	b = xcalloc(1, sizeof(*b));
	b->hash = hash;
	b->prefix_tokens = tokens;
	tsearch(b, &c->tree, compare_blocks);
	TAILQ_INSERT_HEAD(&c->blocks, b, link);
	c->tokens += BLOCK_TOKENS;
	publish(c, "add", b);
}

/* Evicts the least recently used block. */
static void evict_oldest(struct engine_cache *c)
{
	struct cache_block *b = TAILQ_LAST(&c->blocks, cache_blocks);

	publish(c, "drop", b);
	TAILQ_REMOVE(&c->blocks, b, link);
	tdelete(b, &c->tree, compare_blocks);
	c->tokens -= BLOCK_TOKENS;
	free(b);
}

/* Records an event, or only uses up its number if the event is lost. */
static void publish(struct engine_cache *c, const char *op,
		    const struct cache_block *b)
{
	char prefix[17];

	c->event_seq++;
	if (next_random(c) < c->event_loss)
		return;
	snprintf(prefix, sizeof(prefix), "%016llx",
		 (unsigned long long)b->hash);
	json_array_append_new(c->events,
			      json_pack("{s:I, s:s, s:s, s:I, s:f}", "seq",
					(json_int_t)c->event_seq, "op", op,
					"prefix", prefix, "tokens",
					(json_int_t)b->prefix_tokens, "made_ms",
					standin_now_ms()));
	if (json_array_size(c->events) > EVENTS_MAX)
		json_array_remove(c->events, 0);
}

/* Returns a pseudorandom number in [0, 1).  It depends only on the seed and the
 * count of numbers drawn, so event losses are reproducible. */
static double next_random(struct engine_cache *c)
{
	c->random_state++;
	return (double)(XXH64(&c->random_state, sizeof(c->random_state), 0) >>
			11) /
	       (double)(1ull << 53);
}

/* Compares two blocks by hash for tsearch(3). */
static int compare_blocks(const void *a, const void *b)
{
	const struct cache_block *x = a;
	const struct cache_block *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}
