#ifndef ENTRYD_CALL_H
#define ENTRYD_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entryd/claim_row.h"
#include "entryd/endpoints.h"
#include "entryd/entryd.h"
#include "entryd/problem.h"
#include "entryd/services.h"
#include "lib/httpc.h"
#include "policy/claim.h"

#define CALL_ANSWER_MAX (8u << 20) /* bytes */
#define CALL_KEY_MAX 128 /* bytes of an Idempotency-Key */
#define CALL_ID_SIZE 32

/* One call of a plain service.  It outlives its caller where its claim must
 * still be brought up to date. */
struct call {
	struct entryd *e;
	struct handle self;
	struct httpd_req *req; /* NULL once answered or left */
	char request[CALL_ID_SIZE];
	uint32_t org; /* index */
	uint64_t org_id;
	struct handle service;
	char *method;
	char *path; /* at the service, with the query */
	char *type; /* content type, or NULL */
	char *key; /* or NULL */
	char *body;
	size_t body_len;
	bool idempotent;
	bool first_copy; /* no earlier copy can have been sent */
	uint64_t arrived_at; /* ms */
	uint64_t deadline_ms;
	bool waiting; /* in admission's queue */
	uint32_t ticket;
	struct admit_decision run;
	uint64_t admitted_at; /* ms; 0: not admitted, or given back */
	unsigned tries;
	struct endpoint_list avoid;
	struct handle endpoint;
	bool on_endpoint;
	struct httpc_req *exchange;
	uint64_t again_at; /* ms, of the next try of an idempotent call; 0 */
	int status; /* of the answer */
	char *answer_type;
	char *answer;
	size_t answer_len;
	size_t answer_size;
	bool answer_too_long;
	bool store_pending; /* an answer of the store is awaited */
	struct claim claim;
	char *row_key;
	uint64_t row_version; /* of our row; 0: not known */
	uint64_t claim_again_at; /* ms; repeats claim_again */
	struct claim_decision claim_again;
};

struct call *call_get(const struct entryd *e, struct handle h);
struct call *calls_next(const struct entryd *e, uint32_t *index);
void call_free(struct call *c);
void call_release_slot(struct call *c, bool completed);
void call_reply(struct call *c, int status, const char *type, const char *body,
		size_t len);
void call_refuse(struct call *c, int status, enum run_state run,
		 const char *title, const char *detail, uint32_t retry_after_s);

/* Sending to an endpoint (call_send.c).  The outcome comes back by
 * claim_call_event() or call_idempotent_ended(). */
bool call_send(struct call *c);
void call_release_endpoint(struct call *c);

/* At most once (call_claim.c). */
void call_claim_begin(struct call *c);
void call_claim_event(struct call *c, const struct claim_event *ev);
bool call_claim_may_send(struct call *c);
void call_claim_tick(struct call *c, uint64_t now);
void call_claim_cancel(struct call *c);

/* Idempotent calls (calls.c). */
void call_ended(struct call *c, enum httpc_outcome outcome);

#endif /* ENTRYD_CALL_H */
