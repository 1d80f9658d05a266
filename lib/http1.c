/*
 * Parsing of HTTP/1.1 messages, heads and body framing, by the parser in
 * libh2o.  lib/http1_client and lib/http1_server use it instead of h2o's client
 * and server because they must detect bytes that belong to no answer, know a
 * connection's age and control when bytes are written.
 */
#include "lib/http1.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/types.h>

#define LENGTH_DIGITS_MAX 18 /* always fits into 64 bits */
#define STATUS_INTERIM_MIN 100
#define STATUS_SWITCHING 101 /* the connection changes its protocol */
#define STATUS_FINAL_MIN 200
#define STATUS_FINAL_MAX 599

/* libh2o exports its parser but installs no header for it. */
int phr_parse_request(const char *buf, size_t len, const char **method,
		      size_t *method_len, const char **path, size_t *path_len,
		      int *minor_version, struct http1_header *headers,
		      size_t *num_headers, size_t last_len);
int phr_parse_response(const char *buf, size_t len, int *minor_version,
		       int *status, const char **msg, size_t *msg_len,
		       struct http1_header *headers, size_t *num_headers,
		       size_t last_len);
ssize_t phr_decode_chunked(void *decoder, char *buf, size_t *bufsz);

/* The first members of the parser's decoder; the rest is private to it. */
struct chunk_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
};

static enum http1_result parser_result(int rc, size_t *used);
static bool has_no_folded_header(const struct http1_head *head);
static int content_length(const struct http1_head *head, uint64_t *length);
static void start_chunked(struct http1_body *body);
static bool name_equal(const char *name, size_t len, const char *other);

/* Parses the head of a request; sets *used to its length once it is
 * complete. */
enum http1_result http1_parse_request(const char *data, size_t len,
				      struct http1_head *head, size_t *used)
{
	enum http1_result result;
	int rc;

	head->n_headers = HTTP1_HEADERS_MAX;
	head->status = 0;
	rc = phr_parse_request(data, len, &head->method, &head->method_len,
			       &head->target, &head->target_len,
			       &head->minor_version, head->headers,
			       &head->n_headers, 0);
	result = parser_result(rc, used);
	if (result == HTTP1_DONE && !has_no_folded_header(head))
		return HTTP1_BAD;
	return result;
}

/* Parses the head of an answer; sets *used to its length once it is
 * complete.  One whose status no answer may have is malformed. */
enum http1_result http1_parse_response(const char *data, size_t len,
				       struct http1_head *head, size_t *used)
{
	enum http1_result result;
	const char *reason;
	size_t reason_len;
	int rc;

	head->n_headers = HTTP1_HEADERS_MAX;
	head->method = NULL;
	head->target = NULL;
	rc = phr_parse_response(data, len, &head->minor_version, &head->status,
				&reason, &reason_len, head->headers,
				&head->n_headers, 0);
	result = parser_result(rc, used);
	if (result == HTTP1_DONE &&
	    (!has_no_folded_header(head) || (!http1_is_interim(head->status) &&
					     !http1_is_final(head->status))))
		return HTTP1_BAD;
	return result;
}

/* Returns whether a status is that of an interim answer, which another answer
 * follows.  101 is none: it ends HTTP on its connection, and no request of this
 * system asks for that. */
bool http1_is_interim(int status)
{
	return status >= STATUS_INTERIM_MIN && status < STATUS_FINAL_MIN &&
	       status != STATUS_SWITCHING;
}

/* Returns whether a status is that of a final answer. */
bool http1_is_final(int status)
{
	return status >= STATUS_FINAL_MIN && status <= STATUS_FINAL_MAX;
}

/* Determines how the body of a request is framed.  Returns false if that is
 * ambiguous, which request smuggling relies on. */
bool http1_request_framing(const struct http1_head *head,
			   struct http1_body *body)
{
	int lengths = content_length(head, &body->left);

	if (lengths < 0)
		return false;
	body->framing = lengths ? HTTP1_LENGTH : HTTP1_EMPTY;
	if (http1_find_header(head, "transfer-encoding")) {
		if (lengths ||
		    !http1_has_token(head, "transfer-encoding", "chunked"))
			return false;
		start_chunked(body);
	}
	if (body->framing == HTTP1_LENGTH && !body->left)
		body->framing = HTTP1_EMPTY;
	return true;
}

/* Determines how the body of an answer is framed.  Returns false if that is
 * ambiguous. */
bool http1_response_framing(const struct http1_head *head, bool to_head_request,
			    struct http1_body *body)
{
	int lengths = content_length(head, &body->left);

	if (lengths < 0)
		return false;
	body->framing = lengths ? HTTP1_LENGTH : HTTP1_UNTIL_CLOSE;
	if (to_head_request || head->status == 204 || head->status == 304 ||
	    (lengths && !body->left))
		body->framing = HTTP1_EMPTY;
	else if (http1_find_header(head, "transfer-encoding")) {
		if (lengths ||
		    !http1_has_token(head, "transfer-encoding", "chunked"))
			return false;
		start_chunked(body);
	}
	return true;
}

/*
 * Decodes the next len bytes of a body in place.  Sets *decoded to the number
 * of body bytes at data and *rest to the number of bytes after the end of the
 * body, which follow the decoded ones.
 */
enum http1_result http1_body_read(struct http1_body *body, char *data,
				  size_t len, size_t *decoded, size_t *rest)
{
	ssize_t rc;

	*rest = 0;
	*decoded = len;
	switch (body->framing) {
	case HTTP1_EMPTY:
		*decoded = 0;
		*rest = len;
		return HTTP1_DONE;
	case HTTP1_LENGTH:
		if (*decoded > body->left)
			*decoded = body->left;
		body->left -= *decoded;
		*rest = len - *decoded;
		return body->left ? HTTP1_MORE : HTTP1_DONE;
	case HTTP1_CHUNKED:
		rc = phr_decode_chunked(body->decoder, data, decoded);
		if (rc == -2)
			return HTTP1_MORE;
		if (rc < 0)
			return HTTP1_BAD;
		*rest = (size_t)rc;
		return HTTP1_DONE;
	case HTTP1_UNTIL_CLOSE:
		break;
	}
	return HTTP1_MORE;
}

/* Returns the first header of that name, in any case, or NULL. */
const struct http1_header *http1_find_header(const struct http1_head *head,
					     const char *name)
{
	size_t i;

	for (i = 0; i < head->n_headers; i++)
		if (http1_header_is(&head->headers[i], name))
			return &head->headers[i];
	return NULL;
}

/* Reports whether a header has that name, in any case. */
bool http1_header_is(const struct http1_header *h, const char *name)
{
	return name_equal(h->name, h->name_len, name);
}

/* Reports whether any header of that name lists the token, in any case, among
 * its comma-separated values. */
bool http1_has_token(const struct http1_head *head, const char *name,
		     const char *token)
{
	size_t i;

	for (i = 0; i < head->n_headers; i++) {
		const struct http1_header *h = &head->headers[i];
		const char *p = h->value;
		const char *end = p + h->value_len;

		if (!http1_header_is(h, name))
			continue;
		while (p < end) {
			const char *comma = memchr(p, ',', (size_t)(end - p));
			const char *stop = comma ? comma : end;
			size_t n;

			while (p < stop && (*p == ' ' || *p == '\t'))
				p++;
			n = (size_t)(stop - p);
			while (n && (p[n - 1] == ' ' || p[n - 1] == '\t'))
				n--;
			if (name_equal(p, n, token))
				return true;
			p = comma ? comma + 1 : end;
		}
	}
	return false;
}

/* Reports whether a header applies to one connection only and is not
 * forwarded. */
bool http1_hop_by_hop(const struct http1_head *head,
		      const struct http1_header *h)
{
	static const char *const names[] = {
		"connection",	       "keep-alive", "proxy-authenticate",
		"proxy-authorization", "te",	     "trailer",
		"transfer-encoding",   "upgrade",    "proxy-connection",
		"content-length",      "expect",
	};
	char name[64];
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (http1_header_is(h, names[i]))
			return true;
	if (h->name_len >= sizeof(name))
		return false;
	memcpy(name, h->name, h->name_len);
	name[h->name_len] = '\0';
	return http1_has_token(head, "connection", name);
}

/* Reports whether the connection may be reused after this message. */
bool http1_keeps_alive(const struct http1_head *head)
{
	return head->minor_version >= 1 &&
	       !http1_has_token(head, "connection", "close");
}

/* Parses a header's value as a decimal number of at most 18 digits.  Returns
 * false if it is none or h is NULL. */
bool http1_header_uint(const struct http1_header *h, uint64_t *value)
{
	size_t i;

	if (!h || !h->value_len || h->value_len > LENGTH_DIGITS_MAX)
		return false;
	*value = 0;
	for (i = 0; i < h->value_len; i++) {
		if (h->value[i] < '0' || h->value[i] > '9')
			return false;
		*value = *value * 10 + (uint64_t)(h->value[i] - '0');
	}
	return true;
}

/* Translates the parser's return value; sets *used if the head is complete. */
static enum http1_result parser_result(int rc, size_t *used)
{
	if (rc == -2)
		return HTTP1_MORE;
	if (rc < 0)
		return HTTP1_BAD;
	*used = (size_t)rc;
	return HTTP1_DONE;
}

/* Reports whether no header is folded over several lines, a form that programs
 * interpret differently. */
static bool has_no_folded_header(const struct http1_head *head)
{
	size_t i;

	for (i = 0; i < head->n_headers; i++)
		if (!head->headers[i].name)
			return false;
	return true;
}

/* Reads the content length.  Returns 1 if there is one, 0 if there is none, -1
 * if it is malformed or several differ. */
static int content_length(const struct http1_head *head, uint64_t *length)
{
	int found = 0;
	uint64_t value;
	size_t i;

	*length = 0;
	for (i = 0; i < head->n_headers; i++) {
		if (!http1_header_is(&head->headers[i], "content-length"))
			continue;
		if (!http1_header_uint(&head->headers[i], &value) ||
		    (found && value != *length))
			return -1;
		*length = value;
		found = 1;
	}
	return found;
}

/* Prepares to decode a chunked body, including its trailers. */
static void start_chunked(struct http1_body *body)
{
	struct chunk_decoder *decoder = (void *)body->decoder;

	memset(body->decoder, 0, sizeof(body->decoder));
	decoder->consume_trailer = 1;
	body->framing = HTTP1_CHUNKED;
}

/* Compares a name of len bytes with a null-terminated one, ignoring case. */
static bool name_equal(const char *name, size_t len, const char *other)
{
	return strlen(other) == len && !strncasecmp(name, other, len);
}
