#ifndef PROXYD_EXCHANGE_H
#define PROXYD_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "lib/bytes.h"
#include "lib/counters.h"
#include "lib/event_stream.h"
#include "lib/http1_client.h"
#include "proxyd/endpoints.h"
#include "proxyd/protocol.h"
#include "proxyd/proxyd.h"
#include "proxyd/routes.h"

enum exchange_phase {
	EXCHANGE_WAITING, /* for an endpoint with room */
	EXCHANGE_SENT,
	EXCHANGE_OVER, /* freed at the next tick */
};

#define COPY_ID_SIZE 96
#define COPY_ANSWER_MAX 4096 /* bytes */

/* The copy of a run's memory, at another endpoint. */
struct run_copy {
	struct handle at; /* may name none */
	char id[COPY_ID_SIZE]; /* of one that was ordered; empty: the run's */
	char source
		[ENDPOINT_ADDRESS_SIZE]; /* address under which it is known */
	uint64_t made_ms;
	uint64_t tried_ms; /* last order */
	struct handle ordered_at;
	struct http1_call *call; /* order under way */
	int status; /* of its answer */
	struct bytes answer;
};

/* One request of a caller, from its arrival to its answer. */
struct exchange {
	struct proxyd *proxyd;
	TAILQ_ENTRY(exchange) link;
	struct http1_conn *caller; /* NULL once it has left */
	const struct http1_request
		*request; /* as long as the caller is there */
	struct request_fields fields;
	struct routes *routes; /* the version that the request came under */
	const struct route *route;
	const char *service;
	const struct route_service *engine; /* NULL: a plain service */
	const struct organisation *organisation; /* NULL: needs no key */
	uint64_t content; /* hash: the same when its caller comes again */
	enum exchange_phase phase;
	uint64_t received_ms;
	uint64_t end_ms; /* the caller has its answer by then */
	uint64_t wait_until_ms; /* while EXCHANGE_WAITING */
	uint32_t tokens; /* memory at the end of the run */

	/* the endpoint that it was sent to last */
	struct http1_call *call;
	struct handle at;
	uint64_t sent_ms;
	uint32_t sends; /* endpoints that were sent it, or may have been */
	uint32_t connects; /* that failed in a row */
	uint32_t left_out_leaving; /* endpoints, at the last choice */
	uint32_t left_out_paused;
	uint32_t arrivals; /* endpoints that got it, refusals included */
	bool may_have_run; /* an endpoint had it and gave no whole answer */
	bool may_repeat; /* holds a repeat of the budget, to be sent */
	enum repeat_token token; /* its kind, or of the one sent last */
	bool repeat_due; /* waits until the budget allows it once more */
	struct handle avoided[ENDPOINT_AVOID_MAX];
	size_t n_avoided;
	bool loaded; /* its load counts at the endpoint */
	bool prefilling; /* so does its prompt */
	bool from_copy; /* sent to go on from a copy */
	bool struck; /* its end there is counted, or will be */
	bool staged; /* moves on once its prompt has been read */
	struct run_copy copy;
	struct run_copy left_copy; /* of a lost run that waits to go on */

	/* the endpoint's answer */
	int status;
	struct answer_fields answer; /* its strings are not kept */
	char other_id[ENDPOINT_ID_SIZE]; /* who has the address instead */
	bool unframed; /* only the connection's end ended it */
	struct bytes headers;
	struct bytes body;

	/* a stream of events */
	bool events; /* the current answer is one */
	bool begun; /* events have been passed on */
	struct event_stream stream;
	uint64_t last_event;
	bool has_last_event;
	uint64_t heard_ms; /* last event, or start of the attempt */
	uint64_t first_by_ms; /* first event of the attempt expected; 0: came */
	uint64_t lost_ms; /* when the run was lost; 0: it is not */
	uint64_t longest_gap_ms;
	uint64_t passed_ms; /* when the caller got its last event */
	uint64_t first_ms; /* from arrival to the first event */
	uint32_t moves;
};

TAILQ_HEAD(exchange_list, exchange);

struct exchanges {
	struct proxyd *proxyd;
	struct exchange_list list;
	uint32_t open;
	uint64_t borrowed_ms; /* when others were last asked for repeats */
	uint64_t answer_bytes; /* of answers that are being read */
	uint64_t waiting_tokens; /* of runs that wait for room */
	float run_ms; /* moving mean of the time of a whole run */
	float prefill_ms_per_token; /* moving mean */
	struct counter *served;
	struct counter *refused;
	struct counter *failed;
	struct counter *left; /* by their callers */
	struct counter *moved;
	struct counter *moved_copy;
	struct counter *settled;
	struct counter *repeats_allowed; /* by the budget */
	struct counter *repeats_denied;
	struct counter *repeats_sent;
	struct counter *repeats_lent; /* to other instances */
	struct histogram first_event;
	struct histogram plain_answer;
	struct histogram pause_moved;
};

struct exchanges *exchanges_new(struct proxyd *p);
void exchanges_tick(struct exchanges *t);
void exchanges_excuse(struct exchanges *t, uint64_t stall_ms);
void exchanges_start(struct exchanges *t, struct http1_conn *caller,
		     struct http1_request *r);
void exchanges_endpoint_lost(struct exchanges *t, struct handle endpoint);
uint32_t exchanges_open(const struct exchanges *t);
void exchange_caller_left(void *owner);

/* exchange.c */
struct endpoint_criteria exchange_wish(const struct exchange *x);
void exchange_seek(struct exchange *x);
void exchange_hold(struct exchange *x);
void exchange_avoid(struct exchange *x, struct handle h);
void exchange_refuse(struct exchange *x, int status, uint32_t retry_after_ms,
		     const char *why);
void exchange_fail(struct exchange *x, int status, const char *why);
void exchange_over(struct exchange *x, const char *outcome);

/* repeats.c */
void exchange_repeats_init(struct exchanges *t);
bool exchange_repeat_allowed(struct exchange *x);
bool exchange_repeat_spare(struct exchange *x);
void exchange_arrives(struct exchange *x);
void exchange_not_arrived(struct exchange *x);
void exchange_repeat_unused(struct exchange *x);
void exchanges_borrow(struct exchanges *t);

/* attempt.c */
void attempt_start(struct exchange *x, struct handle at,
		   const struct run_copy *from);
void attempt_drop_answer(struct exchange *x);
void attempt_cancel(struct exchange *x);
void attempt_prompt_read(struct exchange *x);

/* stage.c */
bool stage_planned(struct exchange *x);
struct handle stage_choose(struct exchange *x);
void stage_copied(struct exchange *x);

/* copy.c */
struct handle copy_choose(struct exchange *x);
void copy_set(struct exchange *x, struct handle at, const char *id);
void copy_forget(struct exchange *x);
void copy_end(struct exchange *x, bool used);
void copy_leave(struct exchange *x, const struct run_copy *copy);
void copy_drop_left(struct exchange *x);
bool copy_usable(const struct exchange *x);
bool copy_lies_well(const struct proxyd *p, const struct run_copy *copy);
void copy_tick(struct exchange *x, uint64_t now);

/* stream.c */
void stream_take(struct exchange *x, const char *data, size_t len);
void stream_ended(struct exchange *x, enum http1_outcome outcome);
void stream_move(struct exchange *x, const char *why);
void stream_go_on(struct exchange *x);
void stream_watch(struct exchange *x, uint64_t now);
bool stream_is_late(const struct exchange *x);

#endif /* PROXYD_EXCHANGE_H */
