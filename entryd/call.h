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

/* One call of a plain service.  It outlives the caller's connection while its
 * claim row still has to be updated. */
struct call {
	struct entryd *e;
	struct handle self;
	struct httpd_req *req; /* NULL once answered or closed by the caller */
	char request[CALL_ID_SIZE];
	uint32_t org; /* index */
	uint64_t org_id;
	struct handle service;
	char *method;
	char *path; /* path at the service, with the query string */
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
	struct admit_decision admission;
	uint64_t admitted_at; /* ms; 0: not admitted, or slot released */
	unsigned tries;
	struct endpoint_list avoid;
	struct handle endpoint;
	bool on_endpoint;
	struct httpc_req *exchange;
	uint64_t next_try_at; /* ms, next try of an idempotent call; 0: none */
	int status; /* HTTP status of the answer */
	char *answer_type;
	char *answer;
	size_t answer_len;
	size_t answer_size;
	bool answer_too_long;
	bool store_pending; /* a store operation is in progress */
	struct claim claim;
	char *row_key;
	uint64_t row_version; /* of this call's row; 0: unknown */
	uint64_t deferred_until; /* ms, for deferred_decision; 0: none */
	struct claim_decision deferred_decision;
};

struct call *call_get(const struct entryd *e, struct handle h);
struct call *calls_next(const struct entryd *e, uint32_t *index);
void call_free(struct call *c);
void call_release_slot(struct call *c, bool completed);
void call_reply(struct call *c, int status, const char *type, const char *body,
		size_t len);
void call_refuse(struct call *c, int status, enum run_state run,
		 const char *title, const char *detail, uint32_t retry_after_s);

/* Sending to an endpoint (call_send.c).  The outcome is reported through
 * call_claim_event() or call_ended(). */
bool call_send(struct call *c);
void call_release_endpoint(struct call *c);

/* Calls that run at most once (call_claim.c). */
void call_claim_begin(struct call *c);
void call_claim_event(struct call *c, const struct claim_event *ev);
bool call_claim_may_send(struct call *c);
void call_claim_tick(struct call *c, uint64_t now);
void call_claim_cancel(struct call *c);

/* Idempotent calls (calls.c). */
void call_ended(struct call *c, enum httpc_outcome outcome);

#endif /* ENTRYD_CALL_H */
