#ifndef PROXYD_ENDPOINTS_H
#define PROXYD_ENDPOINTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/http1_client.h"
#include "lib/slots.h"
#include "policy/holdoff.h"
#include "policy/entry_expiry.h"
#include "policy/placement.h"
#include "policy/repeat.h"
#include "proxyd/store.h"

#define ENDPOINT_ID_SIZE 64
#define ENDPOINT_ADDRESS_SIZE 32
#define ENDPOINT_AVOID_MAX 8
#define ENDPOINT_BROKEN_MAX 64 /* runs that broke lately; later ones replace */

struct answer_fields;
struct endpoints;
struct http1_call;
struct proxyd;

/* Work at an endpoint. */
struct endpoint_load {
	uint32_t tokens; /* memory of runs and of copies */
	uint32_t prefill; /* prompts that have no first event yet */
	uint32_t requests;
	uint32_t prefills; /* requests among these that have no event yet */
};

/* A run whose connection broke: the endpoint may have ended. */
struct broken_run {
	uint64_t content;
	uint64_t sent_ms;
	uint64_t broke_ms;
	bool lived; /* its endpoint has taken a connection since */
};

enum endpoint_state {
	ENDPOINT_UP,
	ENDPOINT_DOWN, /* found dead: nothing goes there until a probe does */
	ENDPOINT_OTHER, /* its address belongs to another one */
};

struct endpoint {
	struct handle self;
	char id[ENDPOINT_ID_SIZE];
	char address[ENDPOINT_ADDRESS_SIZE];
	uint64_t hash; /* of the id */
	uint64_t address_hash;
	char *service;
	uint16_t zone;
	uint32_t slots;
	uint64_t born_ms;
	bool leaving; /* so its entry says */
	struct holdoff holdoff; /* its own word */
	struct entry_expiry lapse;
	enum endpoint_state state;
	uint64_t down_ms; /* when it was found dead */
	uint64_t heard_ms; /* last word of its own; 0: none yet */
	uint64_t reached_ms; /* last time anyone answered at its address */
	uint64_t probed_ms; /* start of the last probe */
	uint64_t rumoured_ms; /* another instance said that it is dead */
	bool unproven; /* back by a probe, without an answer since */
	struct http1_call *probe;
	bool rediscovering; /* its address is being asked who answers */
	uint64_t adopted_ms; /* taken on without the store's word; 0: not */
	struct proxyd *proxyd;
	struct endpoint_load own;
	struct endpoint_load others; /* of the other instances */
	struct broken_run *broken; /* NULL until there is one */
	size_t n_broken; /* all that were noted */
	bool work_news; /* the own load has changed since it was told */
	float latency_ms; /* moving mean of plain answers; 0: none yet */
	float failing; /* moving share of failures, 0 to 1 */
	uint64_t answered_ms; /* when these two were last told */
};

/* Which endpoint to choose, and which not. */
struct endpoint_wish {
	const char *service;
	uint32_t tokens;
	uint64_t session; /* hash of the prompt's own part; 0: none */
	bool resumes; /* the prompt was read before */
	const struct handle *avoided;
	size_t n_avoided;
};

struct endpoints *endpoints_new(struct proxyd *p);
void endpoints_tick(struct endpoints *t);
void endpoints_take_row(struct endpoints *t, const struct store_row *row,
			uint64_t outage_end_ms);
void endpoints_keep_only(struct endpoints *t, const struct store_row *rows,
			 size_t n, uint64_t outage_end_ms);
struct endpoint *endpoint_get(const struct endpoints *t, struct handle h);
struct endpoint *endpoint_next(const struct endpoints *t, uint32_t *index);
struct endpoint *endpoint_by_hash(const struct endpoints *t, uint64_t hash);
struct endpoint *endpoint_by_id(const struct endpoints *t, const char *id);
struct placement_choice endpoints_place(struct endpoints *t,
					const struct endpoint_wish *wish,
					bool run, struct handle *chosen);
struct handle endpoints_place_settled(struct endpoints *t,
				      const struct endpoint_wish *wish,
				      struct handle run_at);
struct handle endpoints_place_copy(struct endpoints *t,
				   const struct endpoint_wish *wish,
				   struct handle run_at);
void endpoints_adopt(struct endpoints *t, const char *id, const char *address,
		     const char *service, const char *zone);
const char *endpoints_zone_name(const struct endpoints *t, uint16_t zone);
int64_t endpoint_heard_ago(const struct endpoint *e, uint64_t now);
void endpoint_lost(struct endpoints *t, struct handle h, const char *request,
		   const char *why);
void endpoint_unreachable(struct endpoints *t, struct handle h,
			  const char *request, enum http1_outcome outcome);
void endpoint_misdirected(struct endpoints *t, struct handle h,
			  const char *request);
void endpoint_reached(struct endpoints *t, struct handle h);
void endpoint_heard(struct endpoints *t, struct handle h);
void endpoint_said(struct endpoints *t, struct handle h,
		   const struct answer_fields *answer, const char *request);
void endpoint_hinted_leaving(struct endpoints *t, const char *id,
			     uint64_t born_ms);
bool endpoint_leaves(const struct endpoint *e);
bool endpoint_takes_work(const struct endpoint *e, uint64_t now);
void endpoint_probe(struct endpoints *t, struct handle h, const char *request,
		    uint64_t silent_ms);
void endpoint_answered(struct endpoints *t, struct handle h, uint64_t took_ms,
		       bool failed);
void endpoints_stood_still(struct endpoints *t, uint64_t stall_ms);
struct repeat_budget *endpoints_budget_by_hash(struct endpoints *t,
					       uint64_t hash);
uint64_t endpoints_service_hash(struct endpoints *t, const char *service);
struct repeat_budget *endpoints_budget(struct endpoints *t,
				       const char *service);
void endpoints_prompt_read(struct endpoints *t, uint64_t session,
			   uint64_t endpoint);
void endpoint_rumoured(struct endpoints *t, const char *id);

#endif /* PROXYD_ENDPOINTS_H */
