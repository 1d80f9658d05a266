#ifndef PROXYD_PROTOCOL_H
#define PROXYD_PROTOCOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/bytes.h"
#include "lib/http1_server.h"
#include "policy/prompt_parts.h"

#define REQUEST_ID_SIZE 80
#define INSTANCE_NAME_SIZE 64

/* Decoded headers of a caller's request.  Strings are not NUL-terminated unless
 * noted, and live as long as the request. */
struct request_fields {
	char id[REQUEST_ID_SIZE]; /* NUL-terminated; empty if absent */
	const char *host;
	size_t host_len;
	const char *key;
	size_t key_len;
	uint64_t deadline_ms; /* how long the caller waits; 0: unknown */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* maximum */
	bool resumes; /* the caller resumes a stream after resume_after */
	uint64_t resume_after;
	/* id of the request that brought the stream's first event;
	 * NUL-terminated, empty if it is unknown */
	char first_id[REQUEST_ID_SIZE];
	uint64_t session; /* hash of the prompt's last part; 0: none */
	/* the prompt's other parts, a reference, or NULL */
	struct prompt_parts *parts;
	/* name of the instance that relays the request because it has no path to
	 * the endpoints; NUL-terminated, empty: a caller sends it itself */
	char relayed_by[INSTANCE_NAME_SIZE];
	bool relay_counted; /* that instance has counted it for its budget */
	uint32_t relay_attempts; /* that it has made before */
};

/* Headers that this system adds to a request that it relays to another
 * instance. */
struct relay_fields {
	const char *instance; /* name of this one */
	uint64_t deadline_ms; /* time left */
	bool counted; /* this instance has counted the request */
	uint32_t attempts; /* made before */
	bool resumes;
	uint64_t resume_after; /* last event that the caller received */
	const char *first_id; /* of the stream, or NULL */
};

/* Headers that this system adds to a request for an endpoint. */
struct forward_fields {
	const char *endpoint; /* id; any other endpoint refuses the request */
	const char *organisation; /* or NULL */
	uint64_t deadline_ms; /* time left; 0: unknown */
	bool resumes;
	uint64_t resume_after; /* last event that the caller received */
	bool low_priority; /* the engine serves other requests first */
	const char *copy_target; /* address to send copies to, or NULL */
	const char *copy_source; /* address that holds a copy, or NULL */
	const char *copy_id; /* id of the copy at copy_source */
};

/* Decoded headers of an endpoint's answer. */
struct answer_fields {
	const char *id; /* of the request, or NULL */
	size_t id_len;
	bool authentic; /* has the endpoint's signature header */
	bool not_run; /* the endpoint states that it ran nothing */
	bool misdirected; /* the address now belongs to another endpoint */
	const char *endpoint; /* id of the answering endpoint, or NULL */
	size_t endpoint_len;
	/* the body has a content coding, so it is not the endpoint's own
	 * bytes */
	bool content_encoded;
	bool other_type; /* it has a content type other than an event stream's */
	bool leaving; /* the endpoint must get no new work */
	bool has_pause; /* the endpoint must get no requests for pause_ms */
	uint64_t pause_ms;
	bool has_limit; /* the endpoint takes limit_per_s from all instances */
	double limit_per_s; /* requests per second, 0 or more */
	bool limit_unreadable; /* it names a limit that is not a number */
	/* version that began the stream, of a relayed answer; SOFTWARE_UNKNOWN:
	 * not told */
	uint64_t relay_software;
	bool relay_unable; /* an instance did not take the relayed request */
};

/* The protocol between callers, this system and endpoints. */
struct protocol_ops {
	bool (*decode_request)(const struct http1_head *head,
			       struct request_fields *fields);
	void (*encode_request)(struct bytes *out, const struct http1_request *r,
			       const struct forward_fields *fields);
	/* writes the caller's request with its credential, for the callers'
	 * address of another instance */
	void (*encode_relay)(struct bytes *out, const struct http1_request *r,
			     const struct relay_fields *fields);
	/* line of the answer to a relayed request that this instance does not
	 * take; another one may */
	const char *relay_unable;
	/* adds the version that began the stream to the answer's headers */
	void (*encode_relay_software)(struct bytes *headers, uint64_t software);
	void (*decode_answer)(const struct http1_head *head,
			      struct answer_fields *fields);
	/* writes header lines that end in CRLF, for http1_reply() */
	void (*encode_answer)(struct bytes *headers,
			      const struct http1_head *head);
	/* asks a run's engine to copy its KV cache to another endpoint */
	void (*encode_copy_order)(struct bytes *out, const char *engine,
				  const char *run, const char *to);
	bool (*decode_copy_answer)(const char *text, size_t len, char *id,
				   size_t id_size);
	/* asks the engine to free a copy */
	void (*encode_copy_free)(struct bytes *out, const char *engine,
				 const char *id);
	/* path of an engine's report, and check that a body is one; sets born_ms
	 * to the start of the engine, Unix ms, 0 if it states none */
	const char *report_path;
	bool (*decode_report)(const char *text, size_t len, uint64_t *born_ms);
	/* paths of readiness checks and of the directory */
	const char *ready_path;
	const char *directory_path;
	/* writes the JSON body that lists addresses for callers */
	void (*encode_directory)(struct bytes *body,
				 const char *const *addresses, size_t n,
				 uint32_t ttl_s);
	/* reads the caller's zone, or "" */
	void (*decode_directory)(const struct http1_head *head, char *zone,
				 size_t zone_size);
};

#endif /* PROXYD_PROTOCOL_H */
