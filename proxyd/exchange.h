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
#include "policy/answer_end.h"
#include "policy/request_end.h"
#include "policy/request_limit.h"
#include "proxyd/endpoints.h"
#include "proxyd/limits.h"
#include "proxyd/protocol.h"
#include "proxyd/proxyd.h"
#include "proxyd/routes.h"

enum exchange_phase {
	EXCHANGE_WAITING, /* for an endpoint with free capacity */
	EXCHANGE_SENT,
	EXCHANGE_FINISHED, /* freed at the next tick */
};

#define COPY_ID_SIZE 96
#define COPY_ANSWER_MAX_BYTES 4096

#define RELAYS_AVOIDED_MAX 4

/* Another instance that a request was sent to, by the hash of its name; 0: it
 * was sent to an endpoint itself. */
struct relay_target {
	uint64_t instance;
};

/* A copy of a run's KV cache at another endpoint. */
struct kv_copy {
	struct handle endpoint; /* holds the copy; may name none */
	char id[COPY_ID_SIZE]; /* of an ordered copy; empty: the request's */
	/* address of the endpoint that knows the id of the copy */
	char source[ENDPOINT_ADDRESS_SIZE];
	uint64_t made_ms;
	uint64_t last_order_ms;
	struct handle ordered_endpoint;
	struct http1_call *call; /* order in progress */
	int status; /* of the answer to the order */
	struct bytes answer;
};

/* A run that is held while its request is offered to another endpoint.  The
 * members are as in struct exchange. */
struct held_run {
	struct http1_call *call; /* NULL: none is held */
	struct relay_target relay;
	struct handle endpoint;
	uint64_t sent_ms;
	uint64_t sent_software;
	uint64_t sent_born_ms;
	struct http1_moments moments;
	bool start_excused;
	enum request_permit permit;
	bool load_counted;
	bool prefill_counted;
	bool from_copy;
	bool crash_counted;
	struct kv_copy copy;
	int status;
	struct answer_fields answer;
	bool unframed;
	struct bytes headers;
	struct bytes body;
	bool is_event_stream;
	struct event_stream stream;
	uint64_t last_event_ms;
	uint64_t first_event_due_ms;
	bool goes_on; /* if it speaks before the other endpoint has answered */
	uint64_t offered_ms; /* to the other endpoint; 0: not connected yet */
	uint64_t can_refuse_ms; /* since when that may refuse; 0: not yet */
	bool asked; /* that endpoint, for a sign of life */
	bool cannot_be_asked; /* for one */
};

/* A process that a request was sent to. */
struct attempt_target {
	struct handle endpoint;
	uint64_t
		born_ms; /* its start, proved then or stated since; 0: unknown */
	bool relayed; /* to another instance, which chose the process */
	bool answered; /* it sent the head of an answer */
};

/* One request of a caller, from its arrival until its answer is complete. */
struct exchange {
	struct proxyd *proxyd;
	TAILQ_ENTRY(exchange) link;
	struct http1_conn *caller; /* NULL once it has disconnected */
	const struct http1_request *request; /* valid while caller is */
	struct request_fields fields;
	struct routes *routes; /* configuration version at arrival */
	const struct route *route;
	const char *service;
	const struct route_service *engine; /* NULL: service without engines */
	const struct organisation *organisation; /* NULL: no key needed */
	uint64_t content; /* hash; the same when the caller retries */
	enum exchange_phase phase;
	uint64_t received_ms;
	uint64_t deadline_ms; /* the answer must be complete by then */
	uint64_t wait_until_ms; /* while EXCHANGE_WAITING */
	uint32_t tokens; /* KV-cache size at the end of the run */
	/* the version that began the stream; SOFTWARE_UNKNOWN before that */
	uint64_t software;
	bool awaits_origin; /* until that version is found */
	uint64_t readings_before; /* of the store's records, at the arrival */
	uint64_t origin_asked_ms; /* of its keepers; 0: not asked */
	bool origin_told; /* its version, to its keepers */
	/* the version must be found before an endpoint is chosen: its caller
	 * resumes it, or its first event came by another instance */
	bool origin_needed;
	bool counted; /* among the requests for its service */
	bool caller_left; /* before its answer was complete */
	bool given; /* a whole answer, to the caller's connection */
	/* its endpoint broke off the last run that had reached one, and no other
	 * run has had an event since */
	bool broken_off;
	bool unattended; /* only its deadline would end it; logged */
	const char *why; /* it was refused or failed; NULL: it was not */

	/* the current or last attempt */
	struct http1_call *call;
	struct relay_target relay;
	uint32_t
		relays; /* attempts that reached another instance, or may have */
	/* instances that did not take the request, the newest ones */
	uint64_t relays_avoided[RELAYS_AVOIDED_MAX];
	uint32_t n_relays_avoided;
	uint64_t relay_avoided_ms; /* when the last of these was added */
	bool unable; /* this instance can't take a request relayed to it */
	struct handle endpoint;
	uint64_t sent_ms;
	uint64_t sent_software; /* version of the endpoint then */
	/* its start, as known then, or proved since to be that of the process
	 * that the request was sent to; 0: unknown */
	uint64_t sent_born_ms;
	struct http1_moments moments; /* set with the head of its answer */
	bool start_excused; /* the endpoint was asked and stated no start */
	uint32_t sends; /* attempts that reached an endpoint, or may have */
	/* the last of these; attempt n is at n % ENDPOINT_AVOID_MAX */
	struct attempt_target targets[ENDPOINT_AVOID_MAX];
	uint32_t failed_connects; /* or misdirected attempts */
	/* when an endpoint last refused it or broke its answer off; 0: none has */
	uint64_t failed_ms;
	/* to endpoints it was at, as there were no others */
	uint32_t offers_again;
	uint64_t no_socket_ms; /* since when this process has none; 0: has */
	uint32_t skipped_leaving; /* endpoints skipped at the last choice */
	uint32_t skipped_paused;
	uint32_t deliveries; /* endpoints that received it, even if refused */
	bool may_have_run; /* an endpoint had it and gave no complete answer */
	bool repeat_reserved; /* holds a repeat that is not sent yet */
	enum repeat_token repeat_kind; /* of the repeat held or sent last */
	/* waits for the budget to allow a repeat; while it is at an endpoint, to
	 * move from there */
	bool awaits_repeat;
	bool awaits_permit; /* waits for the limit of an endpoint */
	enum request_permit permit; /* of the current or last attempt */
	struct handle avoided[ENDPOINT_AVOID_MAX];
	size_t n_avoided;
	bool load_counted; /* included in the endpoint's load */
	bool prefill_counted; /* its prompt is included in that load */
	bool from_copy; /* the attempt resumes from a KV-cache copy */
	bool trial; /* the one run with a part that is refused otherwise */
	bool crash_counted; /* its crash there is counted, or will be */
	bool staged; /* moves to another endpoint after its prefill */
	struct kv_copy copy;
	struct kv_copy kept_copy; /* of a lost run that waits to resume */
	struct held_run held;

	/* the endpoint's answer */
	int status;
	struct answer_fields answer; /* its strings are invalid after on_head */
	/* after a misdirected request: id of the endpoint at the address */
	char current_endpoint_id[ENDPOINT_ID_SIZE];
	bool unframed; /* ends with its connection */
	struct bytes headers;
	struct bytes body;
	uint64_t read_ms; /* when bytes of the answer were last read */

	/* a stream of events */
	bool is_event_stream; /* the current answer is one */
	bool response_started; /* the caller has the head of the answer */
	bool was_paused; /* the attempt was not read for a time */
	bool overdue; /* so late that its endpoint counts as not reached */
	struct event_stream stream;
	uint64_t last_event_id;
	bool has_last_event;
	uint64_t last_event_ms; /* last event, or start of the attempt */
	/* when the first event of the attempt is expected; 0: received */
	uint64_t first_event_due_ms;
	uint64_t lost_ms; /* when the run was lost; 0: not lost */
	/* when a silent run last could not move; 0: not since its last event */
	uint64_t move_tried_ms;
	uint64_t longest_gap_ms;
	uint64_t last_relayed_ms; /* last event sent to the caller */
	uint64_t first_event_ms; /* from arrival to the first event */
	uint32_t moves;
	/* when the answer ended with its connection, while it is not known
	 * whether it is whole; 0: it has not */
	uint64_t ended_ms;
	uint64_t ended_after_ms; /* the last bytes, as far as is known */
	bool end_outlived; /* the endpoint accepted a connection after it */
	/* an older connection to the endpoint gave no answer after it */
	bool end_doubted;
	bool end_overdue; /* the endpoint should have given a sign by now */
	uint64_t end_number; /* of that end, among all that were read here */
	uint32_t empty_runs; /* in a row, without an event of a begun stream */
};

TAILQ_HEAD(exchange_list, exchange);

struct exchanges {
	struct proxyd *proxyd;
	struct exchange_list list;
	uint32_t n_open;
	uint64_t last_borrow_ms; /* last request for loans of repeats */
	uint64_t answer_bytes; /* of all answers being read */
	uv_timer_t ask_timer; /* asks endpoints about ends of answers */
	uint64_t n_ends; /* of answers that had to wait for them to be known */
	uint64_t waiting_tokens; /* needed by the runs that wait */
	float run_ms; /* moving mean of run durations */
	float prefill_ms_per_token; /* moving mean */
	struct counter *served;
	struct counter *refused;
	struct counter *failed;
	struct counter *caller_left;
	struct counter *moved;
	struct counter *moved_copy;
	struct counter *moved_decode;
	struct counter *repeats_allowed;
	struct counter *repeats_denied;
	struct counter *repeats_sent;
	struct counter *repeats_lent; /* to other instances */
	struct counter *relayed; /* to other instances */
	struct counter *relayed_here; /* by other instances */
	struct counter *relays_unable;
	struct counter *end_questions;
	struct counter *ends[ANSWER_END_LEFT + 1];
	struct counter *request_ends[REQUEST_END_UNEXCUSED + 1];
	struct counter *unattended;
	struct histogram first_event;
	struct histogram plain_answer;
	struct histogram pause_moved;
};

struct exchanges *exchanges_new(struct proxyd *p);
void exchanges_tick(struct exchanges *t);
void exchanges_discount_stall(struct exchanges *t, uint64_t stall_ms);
void exchanges_start(struct exchanges *t, struct http1_conn *caller,
		     struct http1_request *r);
void exchanges_path_lost(struct exchanges *t, const char *service);
void exchanges_endpoint_lost(struct exchanges *t, struct handle endpoint);
void stream_start_stated(struct exchange *x);
void exchanges_process_noted(struct exchanges *t, const struct endpoint *e);
bool exchange_process_proved(const struct exchange *x,
			     const struct endpoint *e);
bool exchange_precedes_process(const struct exchange *x,
			       const struct endpoint *e);
void exchange_note_process(struct exchange *x, const struct endpoint *e);
void exchanges_start_stated(struct exchanges *t, struct handle endpoint,
			    bool excused);
bool exchanges_set_later_apart(struct exchanges *t, const struct endpoint *e,
			       uint64_t from);
void exchanges_software_named(struct exchanges *t, uint64_t from, uint64_t to);
uint32_t exchanges_open(const struct exchanges *t);
void exchange_caller_left(void *owner);

/* exchange.c */
struct endpoint_criteria exchange_endpoint_criteria(const struct exchange *x);
bool exchange_has_alternative(struct exchange *x);
void exchange_dispatch(struct exchange *x);
void exchange_wait(struct exchange *x);
void exchange_wait_for(struct exchange *x, uint32_t ms);
void exchange_stop_waiting(struct exchange *x);
void exchange_wait_lost(struct exchange *x, bool out_of_reach);
void exchange_wait_repeat(struct exchange *x);
void exchange_avoid(struct exchange *x, struct handle h);
void exchange_refuse(struct exchange *x, int status, uint32_t retry_after_ms,
		     const char *why);
void exchange_count(struct exchange *x);
void exchange_fail(struct exchange *x, int status, const char *why);
void exchange_finish(struct exchange *x, const char *outcome);

/* repeats.c */
void exchange_repeats_init(struct exchanges *t);
uint32_t exchange_attempts_used(const struct exchange *x);
bool exchange_has_attempts(const struct exchange *x);
bool exchange_attempts_exhausted(const struct exchange *x);
void exchange_note_target_start(struct exchange *x);
bool exchange_repeat_allowed(struct exchange *x);
bool exchange_optional_repeat_allowed(struct exchange *x);
bool exchange_await_probe(struct exchange *x);
void exchange_count_delivery(struct exchange *x);
void exchange_delivery_failed(struct exchange *x);
void exchange_return_repeat(struct exchange *x);
void exchanges_borrow_repeats(struct exchanges *t);

/* attempt.c */
void attempt_start(struct exchange *x, struct handle endpoint,
		   const struct kv_copy *from);
void attempt_begin(struct exchange *x, uint64_t now);
void attempt_keep_head(struct exchange *x, const struct http1_head *head);
void attempt_receive(struct exchange *x, const char *data, size_t len);
void attempt_ended(struct exchange *x, enum http1_outcome outcome);
void attempt_no_socket(struct exchange *x);
void attempt_deliver(struct exchange *x, const char *outcome);
void attempt_end_known(struct exchange *x, enum answer_end end);
void attempt_discard_answer(struct exchange *x);
void attempt_cancel(struct exchange *x);
void attempt_reassign(struct exchange *x);
void attempt_prefill_done(struct exchange *x);

/* relay.c */
void relay_init(struct exchanges *t);
bool relay_start(struct exchange *x, const char *why);
bool relay_available(struct exchange *x);
bool relay_in_use(const struct exchange *x);
void relay_lost(struct exchange *x, enum http1_outcome outcome);
void relay_tick(struct exchange *x, uint64_t now);

/* handover.c */
bool handover_begin(struct exchange *x, bool may_be_silent);
bool handover_restore(struct exchange *x, const char *why);
void handover_end(struct exchange *x);
void handover_release(struct exchange *x);
void handover_tick(struct exchange *x, uint64_t now);

/* stage.c */
bool stage_is_possible(struct exchange *x);
struct handle stage_choose_endpoint(struct exchange *x);
void stage_copy_done(struct exchange *x);

/* kv_copy.c */
struct handle kv_copy_choose(struct exchange *x);
void kv_copy_set(struct exchange *x, struct handle endpoint, const char *id);
void kv_copy_clear(struct exchange *x);
void kv_copy_cancel_order(struct exchange *x);
void kv_copy_release(struct exchange *x, bool used);
void kv_copy_keep(struct exchange *x, const struct kv_copy *copy);
void kv_copy_drop_kept(struct exchange *x);
bool kv_copy_usable(const struct exchange *x);
bool kv_copy_endpoint_usable(const struct exchange *x,
			     const struct kv_copy *copy);
void kv_copy_tick(struct exchange *x, uint64_t now);

/* stream.c */
void stream_receive(struct exchange *x, const char *data, size_t len);
void stream_ended(struct exchange *x, enum http1_outcome outcome);
void stream_end_known(struct exchange *x, enum answer_end end);
bool stream_is_taken_elsewhere(struct exchange *x);
void stream_move(struct exchange *x, const char *why, bool may_go_on);
void stream_resume(struct exchange *x);
void stream_check_silence(struct exchange *x, uint64_t now);
void stream_prove_software(struct exchange *x);
bool stream_is_late(const struct exchange *x);

#endif /* PROXYD_EXCHANGE_H */
