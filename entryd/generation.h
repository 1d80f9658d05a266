#ifndef ENTRYD_GENERATION_H
#define ENTRYD_GENERATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entryd/cursor.h"
#include "entryd/endpoints.h"
#include "entryd/engine.h"
#include "entryd/entryd.h"
#include "entryd/problem.h"
#include "policy/admit.h"
#include "policy/quarantine.h"
#include "policy/resume.h"

#define REQUEST_ID_SIZE 32

enum generation_phase {
	GENERATION_WAITING, /* in admission's queue */
	GENERATION_DISPATCHING, /* admitted, waiting for an endpoint */
	GENERATION_RUNNING, /* one or two attempts are being read */
};

/* Parameters of the caller's request. */
struct generation_params {
	char *prompt;
	uint32_t max_tokens;
	bool stream; /* server-sent events instead of one answer */
	bool chat; /* answer in the chat completion format */
	uint64_t deadline_ms; /* for the first token */
	enum admit_priority priority;
	char *last_event_id; /* or NULL */
	char *received; /* text that the caller already has, or NULL */
	size_t received_len;
};

/* One engine stream of a generation. */
struct attempt {
	struct entryd *e;
	struct handle generation;
	struct handle endpoint;
	uint32_t number;
	uint64_t started_at; /* ms */
	bool decoding; /* counted in the endpoint's decoding streams */
	bool first_seen; /* its first token was received */
	bool suspect; /* counted in the endpoint's suspects_now */
	bool alone;
	bool attached; /* the stream was started by another request */
	uint32_t hedge_tokens; /* tokens charged to the hedge budget */
	struct engine_stream *stream;
	char name[STREAM_NAME_SIZE];
	char prefix[CURSOR_PREFIX_SIZE];
	bool not_started; /* the engine certainly started nothing */
};

/* One generation, from admission to its last token. */
struct generation {
	struct handle self;
	struct httpd_req *req; /* NULL once the caller has disconnected */
	struct generation_params params;
	bool may_have_run; /* an engine may have started it */
	char request[REQUEST_ID_SIZE]; /* request id: "cmpl-" and the id */
	char id[GENERATION_ID_SIZE];
	uint32_t org; /* index */
	uint64_t org_id;
	struct handle service;
	struct quarantine_digest digest;
	enum generation_phase phase;
	bool head_sent; /* the response header was sent */
	bool paused; /* reading is paused: the caller is slow */
	uint32_t ticket; /* admission ticket while waiting */
	struct admit_decision admission; /* admission's decision */
	uint64_t arrived_at; /* ms */
	uint64_t admitted_at; /* ms; 0: not admitted */
	uint64_t first_token_at; /* ms */
	struct resume_stream resume;
	struct attempt *attempts[2];
	struct handle orphan_endpoint; /* of a broken attempt */
	char orphan[STREAM_NAME_SIZE]; /* name of its stream; empty: none */
	uint64_t orphan_at; /* ms, when it will be cancelled */
	unsigned tries; /* consecutive attempts without a token */
	struct endpoint_list avoid;
	uint64_t dispatch_at; /* ms; no attempt starts earlier */
	uint64_t interrupted_at; /* ms, when output stopped; 0: it has not */
	struct handle lost_endpoint; /* endpoint whose probe is awaited */
	bool probing;
	char *text; /* generated so far */
	size_t text_len;
	size_t text_size;
	uint32_t text_tokens; /* number of tokens in text */
	struct XXH3_state_s *hash; /* over text */
	uint64_t expected_hash; /* from the cursor, checked when text_tokens ==
				 * resume.next_pos; 0: none */
	char *out; /* buffered events of one read */
	size_t out_len;
	size_t out_size;
};

struct service;

struct generations *generations_new(void);
void generations_free(struct generations *t);
void generations_tick(struct entryd *e, uint64_t now, uint32_t stall_ms);
size_t generations_count(const struct entryd *e);
size_t generations_on(const struct entryd *e, const struct endpoint *ep,
		      struct quarantine_digest *out, size_t max);
void generations_probed(struct entryd *e, const struct endpoint *ep);
void generations_reevaluate(struct entryd *e,
			    const struct quarantine_digest *digest);
void generations_hand_over(struct entryd *e);
struct generation *generation_get(const struct entryd *e, struct handle h);
struct generation *generations_next(const struct entryd *e, uint32_t *index);

/* Takes ownership of what params owns.  The answer or an error response is sent
 * on req. */
void generation_start(struct entryd *e, struct httpd_req *req, uint32_t org,
		      struct service *service,
		      struct generation_params *params);
void generation_admitted(struct entryd *e, struct handle h,
			 const struct admit_decision *v);
void generation_dispatch(struct entryd *e, struct generation *g);
void generation_readmit(struct entryd *e, struct generation *g);
void generation_interrupted(struct entryd *e, struct generation *g,
			    struct endpoint *ep, bool broken);
void generation_fail(struct entryd *e, struct generation *g,
		     const struct problem *problem);
void generation_finish(struct entryd *e, struct generation *g);
void generation_restart(struct entryd *e, struct generation *g,
			const char *why);
void generation_add_text(struct generation *g, const char *text, size_t len);
uint64_t generation_hash(const struct generation *g);
void generation_refuse(struct entryd *e, struct generation *g, int status,
		       const char *title, const char *detail,
		       uint32_t retry_after_s);
void generation_params_release(struct generation_params *params);

/* Endpoint selection and silence checks (dispatch.c). */
void dispatch_init(void);

/* Attempts (attempt.c). */
void attempts_init(void);
void attempt_start(struct entryd *e, struct generation *g, struct endpoint *ep,
		   bool hedge);
void attempt_attach(struct entryd *e, struct generation *g, struct endpoint *ep,
		    const struct cursor *cursor);
void attempt_end(struct entryd *e, struct generation *g, struct attempt *a,
		 bool cancel);
void attempt_cancel_orphan(struct entryd *e, struct generation *g);
void attempt_pause(struct generation *g, struct attempt *a, bool paused);
struct attempt *attempt_by_number(const struct generation *g, uint32_t number);

/* Responses to the caller (relay.c). */
void relay_token(struct generation *g, const struct attempt *a,
		 uint32_t position, const char *text, size_t len);
void relay_flush(struct generation *g);
void relay_restart(struct generation *g, const char *why);
void relay_finish(struct generation *g, const char *reason);
void relay_problem(struct generation *g, const struct problem *problem);
void relay_hand_over(struct generation *g);

#endif /* ENTRYD_GENERATION_H */
