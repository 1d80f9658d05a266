#ifndef LIB_HTTP1_H
#define LIB_HTTP1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTP1_HEADERS_MAX 100

/* Strings are not null-terminated and point into the parsed bytes.  The layout
 * is that of the parser's own structure. */
struct http1_header {
	const char *name; /* NULL: continues the previous value */
	size_t name_len;
	const char *value;
	size_t value_len;
};

/* The head of a request or an answer. */
struct http1_head {
	const char *method; /* of a request */
	size_t method_len;
	const char *target;
	size_t target_len;
	int status; /* of an answer */
	int minor_version;
	struct http1_header headers[HTTP1_HEADERS_MAX];
	size_t n_headers;
};

/* Result of parsing a head or a body. */
enum http1_result {
	HTTP1_MORE, /* needs more bytes */
	HTTP1_DONE,
	HTTP1_BAD,
};

/* How the end of a body is found. */
enum http1_framing {
	HTTP1_EMPTY,
	HTTP1_LENGTH,
	HTTP1_CHUNKED,
	HTTP1_UNTIL_CLOSE,
};

/* State of reading the body of a message. */
struct http1_body {
	enum http1_framing framing;
	uint64_t left; /* bytes not yet read, for HTTP1_LENGTH */
	uint64_t decoder[6]; /* state of the parser's chunk decoder */
};

enum http1_result http1_parse_request(const char *data, size_t len,
				      struct http1_head *head, size_t *used);
enum http1_result http1_parse_response(const char *data, size_t len,
				       struct http1_head *head, size_t *used);
bool http1_is_interim(int status);
bool http1_is_final(int status);
bool http1_request_framing(const struct http1_head *head,
			   struct http1_body *body);
bool http1_response_framing(const struct http1_head *head, bool to_head_request,
			    struct http1_body *body);
enum http1_result http1_body_read(struct http1_body *body, char *data,
				  size_t len, size_t *decoded, size_t *rest);
const struct http1_header *http1_find_header(const struct http1_head *head,
					     const char *name);
bool http1_header_is(const struct http1_header *h, const char *name);
bool http1_has_token(const struct http1_head *head, const char *name,
		     const char *token);
bool http1_hop_by_hop(const struct http1_head *head,
		      const struct http1_header *h);
bool http1_keeps_alive(const struct http1_head *head);
bool http1_header_uint(const struct http1_header *h, uint64_t *value);

#endif /* LIB_HTTP1_H */
