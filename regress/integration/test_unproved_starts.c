/*
 * An engine that had started again before a request was sent to it, unnoticed, is
 * not taken for one that has ended since.
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
#define LAST_CHUNK "0\r\n\r\n"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define C1 "f\r\n" E1 "\r\n"

/* The entries of all engines name their earlier starts. */
static const struct raw_way_case cases[] = {
	{ .c = { .what = "unframed, its start was not known when it was sent",
		 .target = "/write/one/a",
		 .answers = { { UNFRAMED E1 "id: 2\nd", RAW_FIN },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true } },
	{ .c = { .what = "unframed, no event, its start was not known",
		 .target = "/write/one/a",
		 .answers = { { UNFRAMED, RAW_FIN }, { UNFRAMED E1, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 502,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true } },
	{ .c = { .what = "chunks, no event, its start was not known",
		 .target = "/write/one/a",
		 .answers = { { CHUNKED, RAW_FIN },
			      { CHUNKED C1 LAST_CHUNK, RAW_KEEP } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 502,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true } },
	{ .c = { .what = "unframed and whole, its start was not known",
		 .target = "/write/one/a",
		 .answers = { { UNFRAMED E1, RAW_FIN },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true } },
	{ .c = { .what = "unframed and whole, its start is stated after the end",
		 .target = "/write/one/a",
		 .answers = { { UNFRAMED E1, RAW_FIN },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true, .report = RAW_REPORT_LATE } },
	/* a part is never taken for the whole */
	{ .c = { .what = "unframed, its start was not known, started again",
		 .target = "/once/a",
		 .answers = { { UNFRAMED E1, RAW_RESTARTED },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true } },
	{ .c = { .what = "unframed, its start was not known, started again unseen",
		 .target = "/once/a",
		 .answers = { { UNFRAMED E1, RAW_RESTARTED_UNSEEN },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true } },
	{ .c = { .what = "unframed, its start is stated late, started again",
		 .target = "/once/a",
		 .answers = { { UNFRAMED E1, RAW_RESTARTED },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true, .report = RAW_REPORT_LATE } },
	{ .c = { .what = "unframed, start stated late, started again unseen",
		 .target = "/once/a",
		 .answers = { { UNFRAMED E1, RAW_RESTARTED_UNSEEN },
			      { UNFRAMED E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .restarted_before = true, .report = RAW_REPORT_LATE } },
};

int main(void)
{
	return raw_run_cases("unproved starts", cases, N(cases));
}
