#ifndef POLICY_STORE_POLL_H
#define POLICY_STORE_POLL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Polling state of one table of the store.  Times in ms. */
struct store_poll {
	uint32_t failures; /* consecutive */
	uint64_t first_failure_ms; /* when the first of these occurred */
	uint64_t recovered_ms; /* end of the last outage; 0: none */
};

/* What this instance knows of the other instances.  Times in ms. */
struct store_poll_others {
	size_t preceding; /* live, able to read, and before it in the order */
	size_t unable; /* readers that the store does not answer */
	size_t instances; /* live ones, this one included */
	uint64_t announced_ms; /* last announcement of a reader; 0: none */
	uint64_t answered_ms; /* last answer to a reader; 0: none */
	uint64_t behind_ms; /* since when another has newer rows; 0: none has */
};

/* Why an instance polls the store itself. */
enum store_poll_reason {
	STORE_POLL_NOT, /* it does not: others read */
	STORE_POLL_FEW_INSTANCES, /* each polls for itself */
	STORE_POLL_FOR_OTHERS, /* it is a reader */
	STORE_POLL_NO_READER, /* no answered reader is known */
	STORE_POLL_BEHIND, /* it missed a change */
	STORE_POLL_READERS_SILENT, /* no reader announces itself */
	STORE_POLL_READERS_FAILING, /* the store answers no reader */
};

bool store_poll_all_read(size_t instances);
bool store_poll_designated(const struct store_poll_others *others);
bool store_poll_first(const struct store_poll_others *others);
uint32_t store_poll_wait_ms(const struct store_poll_others *others, bool urgent,
			    uint64_t age_ms);
bool store_poll_call_dead(uint64_t heard_ms, uint64_t called_ms, uint64_t now);
bool store_poll_fresh(uint64_t answered_ms, uint64_t now);
enum store_poll_reason store_poll_decide(const struct store_poll_others *others,
					 uint64_t now);
const char *store_poll_reason_text(enum store_poll_reason reason);
uint32_t store_poll_after_failure(struct store_poll *r, size_t instances,
				  uint64_t now, uint64_t rnd);
uint32_t store_poll_after_success(struct store_poll *r,
				  const struct store_poll_others *others,
				  bool waited_in_vain, uint64_t now);

#endif /* POLICY_STORE_POLL_H */
