#ifndef POLICY_PROMPT_PARTS_H
#define POLICY_PROMPT_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The hashes of the parts of a prompt, each once, in the order of the prompt.
 * References are counted; NULL stands for no parts. */
struct prompt_parts {
	unsigned int refs;
	size_t n;
	size_t max;
	uint64_t *hash;
	uint32_t *slot; /* index of a hash, plus 1; 0: free */
	size_t n_slots;
};

struct prompt_parts *prompt_parts_new(size_t max);
void prompt_parts_add(struct prompt_parts *p, uint64_t hash);
struct prompt_parts *prompt_parts_ref(struct prompt_parts *p);
void prompt_parts_unref(struct prompt_parts *p);
size_t prompt_parts_count(const struct prompt_parts *p);
bool prompt_parts_has(const struct prompt_parts *p, uint64_t hash);

#endif /* POLICY_PROMPT_PARTS_H */
