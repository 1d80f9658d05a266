/*
 * A run that is held while another endpoint is tried.  Its own endpoint ends
 * meanwhile and it was not read: a connection that was opened to that one in between
 * is no witness that it lived at the end of the answer.  Or it goes on: the end of the
 * other endpoint's answer does not end it.
 */
#include "regress/raw_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HEAD                                     \
	"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n" \
	"response-signature: m.1\r\n"
#define UNFRAMED HEAD "content-type: text/event-stream\r\n\r\n"
#define CHUNKED                                    \
	HEAD "content-type: text/event-stream\r\n" \
	     "transfer-encoding: chunked\r\n\r\n"
#define CHUNK(event) "f\r\n" event "\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define PLAIN HEAD "content-type: text/plain\r\n\r\nplain"
#define NOT_EXECUTED                            \
	"HTTP/1.1 503 S\r\nrequest-id: r-1\r\n" \
	"not-executed: 1\r\ncontent-length: 0\r\n\r\n"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"

static const struct raw_way_case cases[] = {
	{ .c = { .what = "started again while its run was held, then refused",
		 .target = "/write/a",
		 .answers = { { UNFRAMED E1, RAW_KEEP },
			      { NOT_EXECUTED, RAW_KEEP },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 3 },
	  .way = { .n_dead = 1, .restarted_while_held = true } },
	{ .c = { .what = "goes on while another answer's end is not known",
		 .target = "/write/a",
		 .answers = { { CHUNKED, RAW_KEEP },
			      { PLAIN, RAW_FIN },
			      { CHUNK(E1), RAW_KEEP },
			      { CHUNK(E2) LAST_CHUNK, RAW_KEEP } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 4 },
	  .way = { .n_dead = 1, .goes_on_while_held = true } },
};

int main(void)
{
	return raw_run_cases("restored runs", cases, N(cases));
}
