/*
 * Calls of plain services: admission, and retries of idempotent calls.  Calls
 * that must not be repeated are handled by call_claim.c.
 */
#include "entryd/calls.h"

#include <bsd/stdlib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/call.h"
#include "entryd/journal.h"
#include "entryd/objectives.h"
#include "entryd/orgs.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define DEADLINE_DEFAULT_MS 10000 /* to start a call without x-deadline-ms */
#define NO_ENDPOINT_RETRY_S 3

struct calls {
	struct slots table; /* of struct call * */
};

static struct call *call_new(struct entryd *e, struct httpd_req *req,
			     uint32_t org, const struct service *service,
			     const char *path);
static bool is_idempotent(const struct entryd *e, const struct service *service,
			  const char *method, const char *path);
static bool key_is_valid(const char *key);
static void on_caller_left(void *arg);
static void schedule_retry(struct call *c, const char *why);
static uint64_t deadline_of(struct entryd *e, struct httpd_req *req);
static enum run_state unsent_run_state(const struct call *c);

/* Allocates an empty table. */
struct calls *calls_new(void)
{
	struct calls *t = xcalloc(1, sizeof(*t));

	slots_init(&t->table, sizeof(struct call *));
	return t;
}

/* Frees an empty table. */
void calls_free(struct calls *t)
{
	slots_release(&t->table);
	free(t);
}

/* Returns the number of calls held. */
size_t calls_count(const struct entryd *e)
{
	return e->calls->table.n_used;
}

/* Returns a call, or NULL if it has ended. */
struct call *call_get(const struct entryd *e, struct handle h)
{
	struct call **item = slots_get(&e->calls->table, h);

	return item ? *item : NULL;
}

/* Iterates over all calls; *index starts at 0.  Returns NULL at the end. */
struct call *calls_next(const struct entryd *e, uint32_t *index)
{
	struct call **item = slots_next(&e->calls->table, index, NULL);

	return item ? *item : NULL;
}

/* Runs the retries and deferred decisions that are due. */
void calls_tick(struct entryd *e, uint64_t now)
{
	struct call *c;
	uint32_t index = 0;

	while ((c = calls_next(e, &index))) {
		if (!c->idempotent)
			call_claim_tick(c, now);
		else if (c->next_try_at && now >= c->next_try_at)
			call_ended(c, HTTPC_CONNECT_FAILED);
	}
}

/* Accepts a call and submits it for admission. */
void call_start(struct entryd *e, struct httpd_req *req, uint32_t org,
		struct service *service, const char *path)
{
	struct call *c = call_new(e, req, org, service, path);
	struct admit_request request = {
		.id = handle_pack(c->self) | WORK_CALL,
		.org = org,
		.kind = ADMIT_NEW,
		.priority = ADMIT_NORMAL,
		.deadline_ms = c->deadline_ms,
	};
	struct admit_decision v;

	httpd_on_close(req, on_caller_left, c);
	if (!c->idempotent && !c->key) {
		call_refuse(c, 400, RUN_NOT_RUN, "key-missing",
			    "This call may not run twice, so it needs an "
			    "Idempotency-Key header.",
			    0);
		return;
	}
	if (c->key && !key_is_valid(c->key)) {
		call_refuse(c, 400, RUN_NOT_RUN, "key-malformed",
			    "Idempotency-Key must be 1 to 128 letters, digits, "
			    "'-', '_', '.' or ':'.",
			    0);
		return;
	}
	v = service_arrive(e, service, &request);
	if (v.outcome == ADMIT_QUEUE) {
		c->waiting = true;
		c->ticket = v.ticket;
		return;
	}
	call_admitted(e, c->self, &v);
}

/* Handles admission's decision. */
void call_admitted(struct entryd *e, struct handle h,
		   const struct admit_decision *v)
{
	struct call *c = call_get(e, h);

	if (!c)
		return;
	c->waiting = false;
	if (v->outcome == ADMIT_REFUSE) {
		call_refuse(c, 503, unsent_run_state(c), "overloaded",
			    admit_reason_text(v->reason), v->retry_after_s);
		return;
	}
	c->admission = *v;
	c->admitted_at = entryd_now(e);
	if (c->idempotent) {
		call_ended(c, HTTPC_CONNECT_FAILED);
		return;
	}
	call_claim_begin(c);
}

/*
 * Handles the end of an idempotent call's exchange: replies, or tries again
 * within the retry budgets.  Called with HTTPC_CONNECT_FAILED to start the
 * first try.
 */
void call_ended(struct call *c, enum httpc_outcome outcome)
{
	struct entryd *e = c->e;
	struct service *service = service_get(e, c->service);
	enum retry_outcome retry;

	c->next_try_at = 0;
	if (outcome == HTTPC_OK) {
		call_reply(c, c->status, c->answer_type, c->answer,
			   c->answer_len);
		call_free(c);
		return;
	}
	if (outcome == HTTPC_TIMEOUT) {
		call_refuse(c, 504, RUN_MAY_HAVE_RUN, "timeout",
			    "The endpoint did not answer in time.", 1);
		return;
	}
	if (c->tries++) {
		retry = retry_take(&org_at(e, c->org)->retry, &service->retry,
				   &retry_defaults, c->tries, entryd_now(e));
		if (retry != RETRY_OK) {
			call_refuse(c, 502, RUN_MAY_HAVE_RUN,
				    "endpoints-failed",
				    "The endpoints that were tried failed.",
				    NO_ENDPOINT_RETRY_S);
			return;
		}
	}
	if (!call_send(c))
		schedule_retry(c, "No endpoint of the service is up.");
}

/* Replies to the caller.  The call itself stays until it is freed, since its
 * claim row may still need an update. */
void call_reply(struct call *c, int status, const char *type, const char *body,
		size_t len)
{
	journal_add(c->e->journal, c->request,
		    "answered with status %d after %" PRIu64 " ms", status,
		    entryd_now(c->e) - c->arrived_at);
	objectives_record_call(c->e, service_get(c->e, c->service)->id,
			       c->org_id, true);
	if (!c->req)
		return;
	httpd_add_header(c->req, "x-request-id", c->request);
	httpd_on_close(c->req, NULL, NULL);
	httpd_reply(c->req, status, type ? type : "application/octet-stream",
		    body ? body : "", len);
	c->req = NULL;
}

/* Refuses an idempotent call, or one that has no claim yet, and ends it. */
void call_refuse(struct call *c, int status, enum run_state run,
		 const char *title, const char *detail, uint32_t retry_after_s)
{
	const struct problem problem = {
		.status = status,
		.run = run,
		.title = title,
		.detail = detail,
		.retry_after_s = retry_after_s,
		.request = c->request,
	};

	journal_add(c->e->journal, c->request, "refused: %s (%s)", detail,
		    run_state_name(run));
	log_msg(LOG_NOTICE, "refused", c->request, "%s (%s)", detail,
		run_state_name(run));
	objectives_record_call(c->e, service_get(c->e, c->service)->id,
			       c->org_id, false);
	if (c->req) {
		httpd_on_close(c->req, NULL, NULL);
		problem_reply(c->req, &problem);
		c->req = NULL;
	}
	call_free(c);
}

/* Releases the admission slot, once. */
void call_release_slot(struct call *c, bool completed)
{
	uint64_t since = c->admitted_at;

	if (!since)
		return;
	c->admitted_at = 0;
	service_finish(c->e, service_get(c->e, c->service), c->org,
		       &c->admission, since, completed);
}

/* Ends a call and frees it. */
void call_free(struct call *c)
{
	struct entryd *e = c->e;

	if (c->exchange)
		httpc_cancel(c->exchange);
	call_release_endpoint(c);
	if (c->req)
		httpd_on_close(c->req, NULL, NULL);
	if (c->waiting)
		service_cancel(e, service_get(e, c->service), c->org,
			       c->ticket);
	slots_free(&e->calls->table, c->self);
	call_release_slot(c, c->status != 0);
	free(c->method);
	free(c->path);
	free(c->type);
	free(c->key);
	free(c->body);
	free(c->answer_type);
	free(c->answer);
	free(c->row_key);
	free(c);
}

/* Creates a call with copies of the request's data, since the request may be
 * freed before the call ends. */
static struct call *call_new(struct entryd *e, struct httpd_req *req,
			     uint32_t org, const struct service *service,
			     const char *path)
{
	struct call *c = xcalloc(1, sizeof(*c));
	struct call **item = slots_alloc(&e->calls->table, &c->self);
	const char *type = httpd_header(req, "content-type");
	const char *key = httpd_header(req, "idempotency-key");
	const char *query = httpd_query(req);
	const char *body = httpd_body(req, &c->body_len);

	*item = c;
	c->e = e;
	c->req = req;
	c->org = org;
	c->org_id = org_at(e, org)->id;
	c->service = service->self;
	c->method = xstrdup(httpd_method(req));
	c->path = xasprintf("%s%s%s", path, *query ? "?" : "", query);
	c->type = type ? xstrdup(type) : NULL;
	c->key = key ? xstrdup(key) : NULL;
	c->body = xmemdup(body, c->body_len);
	c->first_copy = problem_is_first_copy(req);
	c->idempotent = is_idempotent(e, service, c->method, path);
	c->arrived_at = entryd_now(e);
	c->deadline_ms = deadline_of(e, req);
	snprintf(c->request, sizeof(c->request), "call-%08" PRIx32 "%08" PRIx32,
		 arc4random(), arc4random());
	journal_add(e->journal, c->request,
		    "arrived at instance %s from organisation %s: %s %s of "
		    "%s%s%s",
		    e->settings->instance, org_at(e, org)->name, c->method,
		    path, service->name, key ? ", key " : "", key ? key : "");
	return c;
}

/* Returns whether the configuration lists the call as idempotent. */
static bool is_idempotent(const struct entryd *e, const struct service *service,
			  const char *method, const char *path)
{
	const struct config_service *s =
		config_service_by_name(e->config, service->name);
	size_t i;

	for (i = 0; s && i < s->idempotent.n; i++) {
		const char *entry = s->idempotent.items[i];
		size_t len = strcspn(entry, " ");
		const char *prefix = entry[len] ? entry + len + 1 : "/";

		if (strlen(method) == len && !strncmp(entry, method, len) &&
		    !strncmp(path, prefix, strlen(prefix)))
			return true;
	}
	return false;
}

/* Returns whether a key has the allowed form. */
static bool key_is_valid(const char *key)
{
	size_t len = strlen(key);

	return len >= 1 && len <= CALL_KEY_MAX &&
	       strspn(key, "abcdefghijklmnopqrstuvwxyz"
			   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			   "0123456789-_.:") == len;
}

/* The caller disconnected before it was answered. */
static void on_caller_left(void *arg)
{
	struct call *c = arg;

	c->req = NULL;
	journal_add(c->e->journal, c->request, "the caller left");
	if (c->idempotent || (!c->admitted_at && c->waiting))
		call_free(c);
	else
		call_claim_cancel(c);
}

/* Returns the run state of a call that was not sent for this request. */
static enum run_state unsent_run_state(const struct call *c)
{
	return c->first_copy ? RUN_NOT_RUN : RUN_MAY_HAVE_RUN;
}

/* Schedules the next try after a backoff, or refuses the call at its
 * deadline. */
static void schedule_retry(struct call *c, const char *why)
{
	uint64_t now = entryd_now(c->e);

	if (now >= c->deadline_ms) {
		call_refuse(c, 503,
			    c->tries > 1 ? RUN_MAY_HAVE_RUN
					 : unsent_run_state(c),
			    "no-endpoint", why, NO_ENDPOINT_RETRY_S);
		return;
	}
	c->tries--;
	c->avoid.n = 0;
	c->next_try_at = now + retry_backoff_ms(&retry_defaults, c->tries + 1,
						entryd_random());
}

/* Returns the time by which the call must start, in ms. */
static uint64_t deadline_of(struct entryd *e, struct httpd_req *req)
{
	const char *header = httpd_header(req, "x-deadline-ms");
	const char *why = NULL;
	uint64_t ms = DEADLINE_DEFAULT_MS;

	if (header) {
		ms = (uint64_t)strtonum(header, 1, 3600000, &why);
		if (why)
			ms = DEADLINE_DEFAULT_MS;
	}
	return entryd_now(e) + ms;
}
