#ifndef REGRESS_CALLER_H
#define REGRESS_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "emulator/chain.h"
#include "regress/harness_fleet.h"

/* A caller of a streamed completion.  It checks each token on arrival and can
 * resume the stream at another address with the cursor of its last token. */
struct caller {
	struct harness *harness;
	struct stream_reader *stream;
	char *prompt;
	char *org; /* "org-1" */
	uint32_t max_tokens;
	char *text; /* received so far */
	size_t len;
	uint32_t tokens; /* received so far */
	uint32_t wait_tokens; /* number that caller_wait_tokens() waits for */
	size_t n_events_read; /* of the current connection */
	char *id; /* event id (cursor) of the last token, or NULL */
	unsigned restarts; /* "event: restart" received */
	unsigned handovers; /* "event: handover" received */
	bool done; /* "[DONE]" received */
	char *finish; /* finish_reason, or NULL */
	json_t *problem; /* of "event: error" or a refusal, or NULL */
	double last_at_ms; /* arrival of the last token */
	double gap_max_ms; /* longest time between two tokens */
	struct chain chain;
};

struct caller *caller_open(struct harness *h, const char *address,
			   const char *org, const char *prompt,
			   uint32_t max_tokens);
void caller_resume(struct caller *c, const char *address, bool with_text);
struct caller *caller_clone(const struct caller *c, const char *address);
void caller_disconnect(struct caller *c);
void caller_read_events(struct caller *c);
bool caller_ended(struct caller *c);
void caller_wait_tokens(struct caller *c, uint32_t n);
void caller_wait_end(struct caller *c);
void caller_expect_complete(struct caller *c, const char *what);
struct fleet_endpoint *caller_last_engine(const struct caller *c,
					  struct fleet *f);
void caller_close(struct caller *c);

#endif /* REGRESS_CALLER_H */
