#ifndef PROXYD_LIMITS_H
#define PROXYD_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/limit_wait.h"
#include "policy/request_limit.h"
#include "proxyd/protocol.h"

#define LIMIT_ASKS_MAX 2 /* instances asked for permits at a time */
#define LIMIT_DENIALS_MAX 16
#define LIMITS_PER_DATAGRAM_MAX 40 /* each at most 40 bytes */

struct endpoint;
struct exchange;
struct limits;
struct peer;
struct placement_choice;
struct proxyd;

/* A request to another instance for permits. */
struct limit_ask {
	uint64_t lender; /* hash of its name */
	uint64_t asked_ms; /* 0: none, or answered */
};

/* An instance that had no permit. */
struct limit_denial {
	uint64_t lender; /* hash of its name */
	uint64_t until_ms; /* it is not asked again before */
};

/* The limit of one endpoint. */
struct endpoint_limit {
	struct request_limit limit;
	struct request_limit_part part;
	uint64_t instances_version; /* of the list for which part was made */
	/* request whose answer named it, or the instance that told of it */
	char source[REQUEST_ID_SIZE];
	uint64_t told_ms; /* another instance told of it as it is now */
	uint32_t sends_left; /* of news for the others */
	uint64_t send_due_ms;
	uint64_t sent_ms; /* last news sent */
	bool named_here; /* an answer named it since the last refresh */
	struct limit_ask asks[LIMIT_ASKS_MAX];
	uint64_t asked_ms; /* last request for permits */
	struct limit_denial denials[LIMIT_DENIALS_MAX];
	uint32_t n_denials; /* recorded in total; the newest are kept */
	uint64_t denied_until_ms; /* no live holder has a permit until then */
	bool check_wanted; /* a health check waits for a permit */
};

struct limits *limits_new(struct proxyd *p);
void limits_tick(struct limits *t);
void limits_answer(struct endpoint *e, const struct answer_fields *answer,
		   uint64_t sent_ms, const char *request);
void limits_reported_named(struct endpoint *e, double per_s, uint64_t named_ms,
			   const char *instance);
void limits_reported_ended(struct endpoint *e, uint64_t sent_ms,
			   const char *instance);
void limits_release(struct endpoint *e);
bool limits_in_force(const struct endpoint *e);
uint32_t limits_available(struct endpoint *e);
enum request_permit limits_take(struct endpoint *e);
void limits_return(struct endpoint *e, enum request_permit permit);
const struct request_limit_part *limits_part(struct endpoint *e);
bool limits_borrow(struct endpoint *e, uint32_t permits);
void limits_check(struct endpoint *e);
bool limits_check_wanted(const struct endpoint *e);
bool limits_take_for_check(struct endpoint *e);
void limits_tell(struct limits *t, const struct peer *peer);
uint32_t limits_ask_in_ms(const struct endpoint *e);
void limits_lent(struct endpoint *e, uint32_t permits);

/* limit_queue.c */
void limit_queue_init(struct limits *t);
bool limit_queue_is_behind(const struct exchange *x);
bool limit_queue_wait(struct exchange *x);
void limit_queue_ask(const struct exchange *x);
void limit_queue_leave(struct exchange *x);
void limit_queue_refuse(struct exchange *x);
void limit_queue_elsewhere(struct exchange *x,
			   const struct placement_choice *choice);

#endif /* PROXYD_LIMITS_H */
