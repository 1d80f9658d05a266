#ifndef PROXYD_PROTOCOL_H
#define PROXYD_PROTOCOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/bytes.h"
#include "lib/http1_server.h"

#define REQUEST_ID_SIZE 80

/* What a caller says of its request.  Strings are not terminated and live as
 * long as the request. */
struct request_fields {
	char id[REQUEST_ID_SIZE]; /* terminated; empty if it has none */
	const char *host;
	size_t host_len;
	const char *key;
	size_t key_len;
	uint64_t deadline_ms; /* how long the caller waits; 0: not said */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* at most */
	bool resumes; /* the caller goes on after an event that it has */
	uint64_t resume_after;
	uint64_t session; /* hash of the prompt's own part; 0: none */
};

/* What this system tells an endpoint beside the caller's own words. */
struct forward_fields {
	const char *endpoint; /* id; another endpoint refuses the request */
	const char *organisation; /* or NULL */
	uint64_t deadline_ms; /* what is left; 0: not said */
	bool resumes;
	uint64_t resume_after; /* last event that the caller has */
	bool yields; /* the engine serves others first */
	const char *copy_to; /* address that gets a copy of the run, or NULL */
	const char *copy_at; /* address that holds a copy of it, or NULL */
	const char *copy_id; /* the run's id there */
};

/* What an endpoint says of its answer. */
struct answer_fields {
	const char *id; /* of the request, or NULL */
	size_t id_len;
	bool authentic; /* bears the endpoint's mark */
	bool not_run; /* the endpoint states that nothing has run */
	bool other_endpoint; /* the address belongs to another one now */
	const char *endpoint; /* id of who answers, or NULL */
	size_t endpoint_len;
	bool encoded; /* the body is not the endpoint's own bytes */
	bool leaving; /* the endpoint gets no new work from now on */
	bool pauses; /* it wants nothing for pause_ms */
	uint64_t pause_ms;
};

/* The protocol between callers, this system and endpoints. */
struct protocol_ops {
	bool (*decode_request)(const struct http1_head *head,
			       struct request_fields *fields);
	void (*encode_request)(struct bytes *out, const struct http1_request *r,
			       const struct forward_fields *fields);
	void (*decode_answer)(const struct http1_head *head,
			      struct answer_fields *fields);
	/* lines that end in CRLF, for http1_reply() */
	void (*encode_answer)(struct bytes *headers,
			      const struct http1_head *head);
	/* asks a run's engine for a copy of its memory at another endpoint */
	void (*encode_copy_order)(struct bytes *out, const char *engine,
				  const char *run, const char *to);
	bool (*decode_copy_answer)(const char *text, size_t len, char *id,
				   size_t id_size);
	/* tells the engine that a copy is not needed any more */
	void (*encode_copy_free)(struct bytes *out, const char *engine,
				 const char *id);
	/* the path of an engine's report, and whether a body is one */
	const char *report_path;
	bool (*decode_report)(const char *text, size_t len);
	/* the paths of the readiness and directory addresses */
	const char *ready_path;
	const char *directory_path;
	/* a whole JSON answer that names addresses for callers */
	void (*encode_directory)(struct bytes *body,
				 const char *const *addresses, size_t n,
				 uint32_t ttl_s);
	/* the caller's zone, or "" */
	void (*decode_directory)(const struct http1_head *head, char *zone,
				 size_t zone_size);
};

#endif /* PROXYD_PROTOCOL_H */
