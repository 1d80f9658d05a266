#ifndef PROXYD_ENDPOINTS_H
#define PROXYD_ENDPOINTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/http1_client.h"
#include "lib/slots.h"
#include "policy/holdoff.h"
#include "policy/limit_wait.h"
#include "policy/path.h"
#include "policy/entry_expiry.h"
#include "policy/placement.h"
#include "policy/process_span.h"
#include "policy/prompt_parts.h"
#include "policy/repeat.h"
#include "proxyd/store.h"

#define ENDPOINT_ID_SIZE 64
#define ENDPOINT_ADDRESS_SIZE 32
#define ENDPOINT_VERSION_SIZE 32 /* longer ones are cut in logs */
#define ENDPOINT_AVOID_MAX 8
#define ENDPOINT_BROKEN_RUNS_MAX 64 /* ring of recent broken runs */

struct answer_fields;
struct end_questions;
struct endpoint_limit;
struct endpoints;
struct http1_call;
struct proxyd;

/* Work at an endpoint. */
struct endpoint_load {
	uint32_t tokens; /* KV caches of runs and of their copies */
	uint32_t prefill_tokens; /* prompts without a first event yet */
	uint32_t requests;
	uint32_t prefills; /* requests among these without an event yet */
};

/* A run whose connection broke: the endpoint may have crashed. */
struct broken_run {
	uint64_t content;
	struct prompt_parts *parts; /* of a run without events, else NULL */
	uint64_t sent_ms;
	uint64_t broke_ms;
	bool endpoint_alive; /* it has accepted a connection since */
};

enum endpoint_state {
	ENDPOINT_UP,
	ENDPOINT_DOWN, /* found dead: gets no requests until a probe succeeds */
	ENDPOINT_REPLACED, /* another endpoint answers at its address */
};

struct endpoint {
	struct handle self;
	char id[ENDPOINT_ID_SIZE];
	char address[ENDPOINT_ADDRESS_SIZE];
	char version[ENDPOINT_VERSION_SIZE]; /* of its software, for logs */
	uint64_t software; /* its version as listed, or SOFTWARE_UNKNOWN */
	uint64_t unlisted_software; /* stands for a version not known */
	/* it may have started again since its entry was written */
	bool software_doubted;
	bool start_wanted; /* it is to be asked for its start */
	uint64_t start_wanted_ms; /* since when */
	uint64_t start_asked_ms; /* when it was last asked for its start */
	/* when it stated the start that its entry names; 0: not yet */
	uint64_t proved_ms;
	uint64_t hash; /* of the id */
	uint64_t address_hash;
	char *service;
	uint16_t zone;
	uint32_t slots;
	uint64_t born_ms;
	uint64_t stated_born_ms; /* as it last stated itself; 0: not yet */
	struct process_span process; /* that has stated its start */
	bool leaving; /* according to its entry */
	uint64_t sequence; /* of its entry; 0: unknown */
	struct holdoff holdoff; /* as its answers report */
	struct endpoint_limit *limit; /* NULL until it names one */
	struct entry_expiry expiry;
	enum endpoint_state state;
	bool ended; /* not up: its end is shown, not only presumed */
	uint64_t down_ms; /* when it was found dead */
	uint64_t down_moment; /* the same, as a moment of the HTTP client */
	/* when it refused a connection and it is not known yet whether it has
	 * ended; 0: nothing to be decided */
	uint64_t refused_ms;
	/* sending of the last request that it answered itself; 0: none yet */
	uint64_t last_seen_ms;
	uint64_t heard_ms; /* when its last bytes came; 0: none yet */
	uint64_t reached_ms; /* last connection or answer at its address */
	uint64_t probed_ms; /* start of the last probe */
	uint64_t reported_lost_ms; /* another instance reported it dead */
	bool unconfirmed; /* up by a probe, without an answer since */
	struct http1_call *probe;
	bool path_probe; /* its connection counts as an answer */
	/* the question whether it serves on, see witness.c; NULL: not asked now */
	struct http1_call *witness;
	struct end_questions *end_questions; /* NULL until it is asked one */
	bool rediscovering; /* the id at its address is being queried */
	uint64_t adopted_ms; /* added without a store entry; 0: not */
	struct proxyd *proxyd;
	struct path_endpoint path; /* to it, from this instance */
	struct endpoint_load own_load;
	struct endpoint_load others_load; /* from other instances */
	struct broken_run *broken_runs; /* NULL until there is one */
	size_t n_broken_runs; /* recorded in total */
	bool load_changed; /* own load changed since it was last sent */
	float latency_ms; /* moving mean of plain calls; 0: none yet */
	float failure_rate; /* moving mean of failures, 0 to 1 */
	uint64_t means_updated_ms; /* last update of these two */
};

/* This instance's path to the endpoints of a service. */
struct endpoint_path {
	uint64_t service; /* hash of its name */
	bool lost;
	uint64_t answered_ms_ago; /* an endpoint answered */
};

/* Requirements for the choice of an endpoint. */
struct endpoint_criteria {
	const char *service;
	uint32_t tokens;
	uint64_t software; /* that began the stream; SOFTWARE_UNKNOWN: any */
	uint64_t session; /* hash of the prompt's own part; 0: none */
	bool resumes; /* the prompt was prefilled before */
	const struct handle *avoided;
	size_t n_avoided;
	bool behind; /* other requests go first where a limit is named */
};

struct endpoints *endpoints_new(struct proxyd *p);
void endpoints_tick(struct endpoints *t);
void endpoints_apply_row(struct endpoints *t, const struct store_row *row,
			 uint64_t outage_end_ms);
void endpoints_remove_unlisted(struct endpoints *t,
			       const struct store_row *rows, size_t n,
			       uint64_t outage_end_ms);
struct endpoint *endpoint_get(const struct endpoints *t, struct handle h);
struct endpoint *endpoint_next(const struct endpoints *t, uint32_t *index);
struct endpoint *endpoint_by_hash(const struct endpoints *t, uint64_t hash);
struct endpoint *endpoint_by_id(const struct endpoints *t, const char *id);
struct endpoint *endpoint_by_address(const struct endpoints *t,
				     const char *address);
struct placement_choice endpoints_place(
	struct endpoints *t, const struct endpoint_criteria *criteria, bool run,
	struct handle *chosen);
struct handle endpoints_candidate(const struct endpoints *t, uint32_t index);
struct handle endpoints_place_decode_phase(
	struct endpoints *t, const struct endpoint_criteria *criteria,
	struct handle run_at);
struct handle endpoints_place_kv_copy(struct endpoints *t,
				      const struct endpoint_criteria *criteria,
				      struct handle run_at);
void endpoints_adopt(struct endpoints *t, const char *id,
		     const struct endpoint_entry *found, bool reported);
const char *endpoints_zone_name(const struct endpoints *t, uint16_t zone);
uint64_t endpoint_software(const struct endpoint *e);
uint64_t endpoint_known_start(const struct endpoint *e);
bool endpoint_continues(const struct endpoint *e, uint64_t software);
void endpoint_note_process(struct endpoints *t, struct handle h,
			   uint64_t born_ms, struct http1_moments asked);
void endpoint_stated_start(struct endpoints *t, struct handle h,
			   uint64_t born_ms, uint64_t since_ms);
void endpoint_unstated_start(struct endpoints *t, struct handle h);
void endpoint_want_start(struct endpoints *t, struct endpoint *e);
bool endpoint_want_sign(struct endpoints *t, struct handle h);
bool endpoint_start_proved(const struct endpoint *e);
bool endpoint_listed_start_known(const struct endpoint *e);
bool endpoint_versions_mixed(const struct endpoint *e);
void endpoint_want_start_again(struct endpoints *t, struct endpoint *e);
bool endpoints_software_in_service(const struct endpoints *t, uint64_t software,
				   const char *service);
const char *endpoints_software_text(const struct endpoints *t,
				    uint64_t software);
int64_t endpoint_last_seen_ms_ago(const struct endpoint *e, uint64_t now);
void endpoint_lost(struct endpoints *t, struct handle h, const char *request,
		   enum http1_outcome outcome);
void endpoint_unreachable(struct endpoints *t, struct handle h,
			  uint64_t begun_ms, const char *request,
			  enum http1_outcome outcome);
bool endpoint_answered_at(struct endpoints *t, const char *id,
			  const char *address, uint64_t sent_ms);
void endpoint_replaced(struct endpoints *t, struct handle h,
		       const char *request);
void endpoint_reached(struct endpoints *t, struct handle h, uint64_t sent_ms);
void endpoint_seen(struct endpoints *t, struct handle h, uint64_t sent_ms);
void endpoint_apply_status(struct endpoints *t, struct handle h,
			   const struct answer_fields *answer, uint64_t sent_ms,
			   const char *request);
void endpoint_reported_leaving(struct endpoints *t, const char *id,
			       uint64_t born_ms);
bool endpoint_is_leaving(const struct endpoint *e);
bool endpoint_accepts_work(const struct endpoint *e, uint64_t now);
bool endpoint_take_check(struct endpoint *e, uint64_t now);
const char *endpoint_question_path(const struct proxyd *p, const char *service,
				   bool engine);
void endpoint_probe(struct endpoints *t, struct handle h, const char *request,
		    uint64_t silent_ms);
void endpoint_record_answer(struct endpoints *t, struct handle h,
			    uint64_t took_ms, bool failed);
void endpoints_after_stall(struct endpoints *t, uint64_t stall_ms);
struct repeat_budget *endpoints_budget_by_hash(struct endpoints *t,
					       uint64_t hash);
uint64_t endpoints_service_hash(struct endpoints *t, const char *service);
struct repeat_budget *endpoints_budget(struct endpoints *t,
				       const char *service);
struct limit_return *endpoints_limit_return(struct endpoints *t,
					    const char *service);
void endpoints_record_prompt(struct endpoints *t, uint64_t session,
			     uint64_t endpoint);
void endpoint_reported_lost(struct endpoints *t, const char *id);

/* endpoints_path.c */
bool endpoints_path_lost(struct endpoints *t, const char *service);
bool endpoints_path_doubtful(struct endpoints *t, const char *service);
bool endpoints_any_path_lost(const struct endpoints *t);
size_t endpoints_paths(const struct endpoints *t, struct endpoint_path *list,
		       size_t most);
void endpoint_connected(struct endpoints *t, struct handle h,
			uint64_t begun_ms);
bool endpoint_refused(struct endpoints *t, struct endpoint *e);
void endpoints_check_paths(struct endpoints *t);
void endpoint_answered(struct endpoints *t, struct handle h, uint64_t sent_ms,
		       bool kept_connection);
void endpoint_heard(struct endpoints *t, struct handle h);
void endpoint_not_connected(struct endpoints *t, struct handle h,
			    uint64_t begun_ms);
void endpoint_unanswered(struct endpoints *t, struct handle h,
			 uint64_t sent_ms);

#endif /* PROXYD_ENDPOINTS_H */
