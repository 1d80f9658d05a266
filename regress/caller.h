#ifndef REGRESS_CALLER_H
#define REGRESS_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "emulator/chain.h"
#include "regress/harness_fleet.h"

/* A caller of a streamed completion, which checks each token as it comes and
 * goes on with its cursor where it is told to. */
struct caller {
	struct harness *harness;
	struct stream_reader *stream;
	char *prompt;
	char *org; /* "org-1" */
	uint32_t max_tokens;
	char *text; /* held so far */
	size_t len;
	uint32_t tokens; /* held so far */
	uint32_t wanted; /* for waiting */
	size_t taken; /* events of the present connection */
	char *id; /* of the last token, or NULL */
	unsigned restarts; /* announced openly */
	unsigned handovers; /* announced openly */
	bool done; /* "[DONE]" has come */
	char *finish; /* finish_reason, or NULL */
	json_t *problem; /* of "event: error" or a refusal, or NULL */
	double last_at_ms; /* when the last token came */
	double gap_max_ms; /* between two tokens */
	struct chain chain;
};

struct caller *caller_open(struct harness *h, const char *address,
			   const char *org, const char *prompt,
			   uint32_t max_tokens);
void caller_go_on(struct caller *c, const char *address, bool with_text);
struct caller *caller_copy(const struct caller *c, const char *address);
void caller_leave(struct caller *c);
void caller_take(struct caller *c);
bool caller_over(struct caller *c);
void caller_wait_tokens(struct caller *c, uint32_t n);
void caller_wait_end(struct caller *c);
void caller_expect_whole(struct caller *c, const char *what);
struct fleet_endpoint *caller_engine(const struct caller *c, struct fleet *f);
void caller_close(struct caller *c);

#endif /* REGRESS_CALLER_H */
