/*
 * Client for the platform's table, object store and instance list over HTTP and
 * JSON.  If the response is lost after the request was sent, the outcome of a
 * write is unknown; a read has no effect and is reported as unavailable.
 */
#include "lib/platform.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "lib/platform_json.h"
#include "lib/xalloc.h"

#define RESPONSE_MAX_BYTES (16u << 20)

struct call;

/* A client of the platform and its calls in progress. */
struct platform_http {
	struct platform platform; /* first: callers hold a pointer to it */
	struct httpc *client;
	char *address;
	uint32_t timeout_ms;
	struct call *calls;
};

/* One HTTP exchange; finish parses the response and calls done. */
struct call {
	struct platform_http *p;
	struct httpc_req *req;
	struct call *prev;
	struct call *next;
	bool modifies; /* the request modifies the platform's state */
	int status;
	bool too_long; /* the response exceeds RESPONSE_MAX_BYTES */
	char *body;
	size_t len;
	void (*finish)(struct call *call, enum platform_outcome outcome);
	union {
		void (*read)(void *, enum platform_outcome,
			     const struct platform_row *);
		void (*scan)(void *, enum platform_outcome,
			     const struct platform_row *, size_t);
		void (*write)(void *, enum platform_outcome, uint64_t,
			      const struct platform_row *);
		void (*put)(void *, enum platform_outcome);
		void (*get)(void *, enum platform_outcome, const char *,
			    size_t);
		void (*instances)(void *, enum platform_outcome,
				  const struct platform_instance *, size_t);
	} done;
	void *arg;
};

static void http_read(struct platform *p, const char *key,
		      void (*done)(void *arg, enum platform_outcome outcome,
				   const struct platform_row *row),
		      void *arg);
static void http_scan(struct platform *p, const char *prefix,
		      void (*done)(void *arg, enum platform_outcome outcome,
				   const struct platform_row *rows, size_t n),
		      void *arg);
static void http_write(struct platform *p, const char *nonce,
		       const struct platform_write *writes, size_t n,
		       void (*done)(void *arg, enum platform_outcome outcome,
				    uint64_t version,
				    const struct platform_row *row),
		       void *arg);
static void http_object_put(
	struct platform *p, const char *name, const void *data, size_t len,
	void (*done)(void *arg, enum platform_outcome outcome), void *arg);
static void http_object_get(struct platform *p, const char *name,
			    void (*done)(void *arg,
					 enum platform_outcome outcome,
					 const char *data, size_t len),
			    void *arg);
static void http_instances(struct platform *p,
			   void (*done)(void *arg,
					enum platform_outcome outcome,
					const struct platform_instance *list,
					size_t n),
			   void *arg);
static size_t http_pending(const struct platform *p);
static void http_free(struct platform *p);

static struct call *call_new(struct platform *p,
			     void (*finish)(struct call *call,
					    enum platform_outcome outcome),
			     void *arg);
static void call_start(struct call *call, const char *method, const char *path,
		       const void *body, size_t len);
static void call_unlink(struct call *call);
static void call_free(struct call *call);
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum httpc_outcome outcome);
static enum platform_outcome classify(const struct call *call,
				      enum httpc_outcome outcome);
static enum platform_outcome lost_outcome(const struct call *call);
static void finish_read(struct call *call, enum platform_outcome outcome);
static void finish_scan(struct call *call, enum platform_outcome outcome);
static void finish_write(struct call *call, enum platform_outcome outcome);
static void finish_put(struct call *call, enum platform_outcome outcome);
static void finish_get(struct call *call, enum platform_outcome outcome);
static void finish_instances(struct call *call, enum platform_outcome outcome);

static const struct platform_ops http_ops = {
	.read = http_read,
	.scan = http_scan,
	.write = http_write,
	.object_put = http_object_put,
	.object_get = http_object_get,
	.instances = http_instances,
	.pending = http_pending,
	.free = http_free,
};

/* Returns a client of the platform at address; it must be freed before the HTTP
 * client c.  timeout_ms is the connect and idle timeout of each call. */
struct platform *platform_http_new(struct httpc *c, const char *address,
				   uint32_t timeout_ms)
{
	struct platform_http *h = xcalloc(1, sizeof(*h));

	h->platform.ops = &http_ops;
	h->client = c;
	h->address = xstrdup(address);
	h->timeout_ms = timeout_ms;
	return &h->platform;
}

/* Returns the number of calls in progress. */
static size_t http_pending(const struct platform *p)
{
	const struct platform_http *h = (const struct platform_http *)p;
	const struct call *call;
	size_t n = 0;

	for (call = h->calls; call; call = call->next)
		n++;
	return n;
}

/* Cancels all calls in progress without calling their done functions. */
static void http_free(struct platform *p)
{
	struct platform_http *h = (struct platform_http *)p;
	struct call *call;
	struct call *next;

	for (call = h->calls; call; call = next) {
		next = call->next;
		httpc_cancel(call->req);
		call_free(call);
	}
	free(h->address);
	free(h);
}

/* Reads one row. */
static void http_read(struct platform *p, const char *key,
		      void (*done)(void *arg, enum platform_outcome outcome,
				   const struct platform_row *row),
		      void *arg)
{
	struct call *call = call_new(p, finish_read, arg);
	char *path = platform_encode_path("/table/row?key=", key);

	call->done.read = done;
	call_start(call, "GET", path, NULL, 0);
	free(path);
}

/* Reads all rows whose keys begin with prefix. */
static void http_scan(struct platform *p, const char *prefix,
		      void (*done)(void *arg, enum platform_outcome outcome,
				   const struct platform_row *rows, size_t n),
		      void *arg)
{
	struct call *call = call_new(p, finish_scan, arg);
	char *path = platform_encode_path("/table/scan?prefix=", prefix);

	call->done.scan = done;
	call_start(call, "GET", path, NULL, 0);
	free(path);
}

/* Writes all rows atomically.  The platform stores the nonce with the rows. */
static void http_write(struct platform *p, const char *nonce,
		       const struct platform_write *writes, size_t n,
		       void (*done)(void *arg, enum platform_outcome outcome,
				    uint64_t version,
				    const struct platform_row *row),
		       void *arg)
{
	struct call *call = call_new(p, finish_write, arg);
	json_t *list = json_array();
	json_t *root = json_object();
	char *body;
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(list, platform_write_json(&writes[i]));
	json_object_set_new(root, "nonce", json_string(nonce));
	json_object_set_new(root, "writes", list);
	body = json_dumps(root, JSON_COMPACT);
	call->modifies = true;
	call->done.write = done;
	call_start(call, "POST", "/table/write", body, body ? strlen(body) : 0);
	free(body);
	json_decref(root);
}

/* Stores an object; idempotent. */
static void http_object_put(
	struct platform *p, const char *name, const void *data, size_t len,
	void (*done)(void *arg, enum platform_outcome outcome), void *arg)
{
	struct call *call = call_new(p, finish_put, arg);
	char *path = platform_encode_path("/objects/", name);

	call->modifies = true;
	call->done.put = done;
	call_start(call, "PUT", path, data, len);
	free(path);
}

/* Fetches an object. */
static void http_object_get(struct platform *p, const char *name,
			    void (*done)(void *arg,
					 enum platform_outcome outcome,
					 const char *data, size_t len),
			    void *arg)
{
	struct call *call = call_new(p, finish_get, arg);
	char *path = platform_encode_path("/objects/", name);

	call->done.get = done;
	call_start(call, "GET", path, NULL, 0);
	free(path);
}

/* Fetches the list of instances, which may be out of date. */
static void http_instances(struct platform *p,
			   void (*done)(void *arg,
					enum platform_outcome outcome,
					const struct platform_instance *list,
					size_t n),
			   void *arg)
{
	struct call *call = call_new(p, finish_instances, arg);

	call->done.instances = done;
	call_start(call, "GET", "/instances", NULL, 0);
}

/* Creates a call and adds it to the client's list. */
static struct call *call_new(struct platform *p,
			     void (*finish)(struct call *call,
					    enum platform_outcome outcome),
			     void *arg)
{
	struct platform_http *h = (struct platform_http *)p;
	struct call *call = xcalloc(1, sizeof(*call));

	call->p = h;
	call->finish = finish;
	call->arg = arg;
	call->next = h->calls;
	if (call->next)
		call->next->prev = call;
	h->calls = call;
	return call;
}

/* Sends the request; on_end() completes the call. */
static void call_start(struct call *call, const char *method, const char *path,
		       const void *body, size_t len)
{
	static const struct httpc_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	struct httpc_request request = {
		.method = method,
		.address = call->p->address,
		.path = path,
		.body = body,
		.body_len = len,
		.connect_timeout_ms = call->p->timeout_ms,
		.timeout_ms = call->p->timeout_ms,
	};

	call->req = httpc_start(call->p->client, &request, &ops, call);
}

/* Removes the call from the client's list. */
static void call_unlink(struct call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		call->p->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
}

/* Frees a call that is no longer in the list. */
static void call_free(struct call *call)
{
	free(call->body);
	free(call);
}

/* Stores the response status. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct call *call = arg;

	(void)headers;
	(void)n;
	call->status = status;
}

/* Appends to the body, which is kept NUL-terminated. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct call *call = arg;

	if (call->too_long || len > RESPONSE_MAX_BYTES - call->len) {
		call->too_long = true;
		return;
	}
	call->body = xreallocarray(call->body, call->len + len + 1, 1);
	memcpy(call->body + call->len, data, len);
	call->len += len;
	call->body[call->len] = '\0';
}

/* Reports the outcome to the caller and frees the call. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct call *call = arg;

	/* unlinked first, because the callback may free the client */
	call_unlink(call);
	call->finish(call, classify(call, outcome));
	call_free(call);
}

/* Returns the outcome of a call whose response was lost. */
static enum platform_outcome lost_outcome(const struct call *call)
{
	return call->modifies ? PLATFORM_UNKNOWN : PLATFORM_UNAVAILABLE;
}

/* Maps the end of an exchange to an outcome.  Only a failed connect or a
 * refusal by the platform proves that nothing was written. */
static enum platform_outcome classify(const struct call *call,
				      enum httpc_outcome outcome)
{
	if (outcome == HTTPC_CONNECT_FAILED)
		return PLATFORM_UNAVAILABLE;
	if (outcome != HTTPC_OK || call->too_long)
		return lost_outcome(call);
	switch (call->status) {
	case 200:
	case 201:
	case 204:
		return PLATFORM_OK;
	case 404:
		return PLATFORM_NOT_FOUND;
	case 409:
		return PLATFORM_CONFLICT;
	case 429:
	case 503:
		return PLATFORM_UNAVAILABLE;
	default:
		break;
	}
	if (call->status >= 400 && call->status < 500)
		return PLATFORM_REJECTED;
	return lost_outcome(call);
}

/* Completes http_read(); an unparsable row is reported as unavailable. */
static void finish_read(struct call *call, enum platform_outcome outcome)
{
	struct platform_row row;
	json_t *root = NULL;

	if (outcome == PLATFORM_OK) {
		root = json_loadb(call->body ? call->body : "", call->len, 0,
				  NULL);
		if (!root || !platform_row_parse(root, &row))
			outcome = PLATFORM_UNAVAILABLE;
	}
	call->done.read(call->arg, outcome,
			outcome == PLATFORM_OK ? &row : NULL);
	json_decref(root);
}

/* Completes http_scan(); skips rows that can't be parsed. */
static void finish_scan(struct call *call, enum platform_outcome outcome)
{
	struct platform_row *rows = NULL;
	json_t *root = NULL;
	json_t *list;
	size_t n = 0;
	size_t i;

	if (outcome != PLATFORM_OK)
		goto out;
	root = json_loadb(call->body ? call->body : "", call->len, 0, NULL);
	list = json_object_get(root, "rows");
	if (!json_is_array(list)) {
		outcome = PLATFORM_UNAVAILABLE;
		goto out;
	}
	rows = xcalloc(json_array_size(list), sizeof(*rows));
	for (i = 0; i < json_array_size(list); i++)
		if (platform_row_parse(json_array_get(list, i), &rows[n]))
			n++;
out:
	call->done.scan(call->arg, outcome, rows, n);
	free(rows);
	json_decref(root);
}

/* Completes http_write(); success without a version is reported as unknown. */
static void finish_write(struct call *call, enum platform_outcome outcome)
{
	struct platform_row row;
	bool have_row = false;
	uint64_t version = 0;
	json_t *root = NULL;
	const json_t *v;

	if (outcome == PLATFORM_OK || outcome == PLATFORM_CONFLICT)
		root = json_loadb(call->body ? call->body : "", call->len, 0,
				  NULL);
	if (outcome == PLATFORM_CONFLICT)
		have_row = platform_row_parse(json_object_get(root, "conflict"),
					      &row);
	if (outcome == PLATFORM_OK) {
		v = json_array_get(json_object_get(root, "versions"), 0);
		version = (uint64_t)json_integer_value(v);
		if (!version)
			outcome = PLATFORM_UNKNOWN;
	}
	call->done.write(call->arg, outcome, version, have_row ? &row : NULL);
	json_decref(root);
}

/* Completes http_object_put(). */
static void finish_put(struct call *call, enum platform_outcome outcome)
{
	call->done.put(call->arg, outcome);
}

/* Completes http_object_get(). */
static void finish_get(struct call *call, enum platform_outcome outcome)
{
	call->done.get(call->arg, outcome, call->body ? call->body : "",
		       outcome == PLATFORM_OK ? call->len : 0);
}

/* Completes http_instances(); skips entries that can't be parsed. */
static void finish_instances(struct call *call, enum platform_outcome outcome)
{
	struct platform_instance *instances = NULL;
	json_t *root = NULL;
	json_t *list;
	size_t n = 0;
	size_t i;

	if (outcome != PLATFORM_OK)
		goto out;
	root = json_loadb(call->body ? call->body : "", call->len, 0, NULL);
	list = json_object_get(root, "instances");
	if (!json_is_array(list)) {
		outcome = PLATFORM_UNAVAILABLE;
		goto out;
	}
	instances = xcalloc(json_array_size(list), sizeof(*instances));
	for (i = 0; i < json_array_size(list); i++)
		if (platform_instance_parse(json_array_get(list, i),
					    &instances[n]))
			n++;
out:
	call->done.instances(call->arg, outcome, instances, n);
	free(instances);
	json_decref(root);
}
