#ifndef PROXYD_SUSPECTS_H
#define PROXYD_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/crash_suspect.h"
#include "proxyd/store.h"

struct endpoint;
struct exchange;
struct peer;
struct proxyd;
struct suspects;

enum suspect_word {
	SUSPECT_STRIKE, /* an endpoint ended under a run */
	SUSPECT_REFUSED, /* the content is refused from now on */
	SUSPECT_RAN, /* a run has come to its end: it is in order */
};

/* What instances tell each other of a content.  Times by the own clock, ms. */
struct suspect_news {
	enum suspect_word word;
	uint64_t content;
	struct run_crash strike; /* of SUSPECT_STRIKE */
	uint64_t until_ms; /* of SUSPECT_REFUSED */
	uint64_t since_ms; /* the first run that it is refused for */
};

struct suspects *suspects_new(struct proxyd *p);
void suspects_tick(struct suspects *t);
void suspects_broke(struct exchange *x, struct endpoint *e);
void suspects_endpoint_lost(struct exchange *x, struct endpoint *e);
void suspects_endpoint_ended(struct suspects *t, struct endpoint *e);
void suspects_endpoint_lives(struct endpoint *e, uint64_t probed_ms);
void suspects_ran(struct exchange *x);
bool suspects_stop(struct exchange *x);
bool suspects_holds(const struct exchange *x);
void suspects_hear(struct suspects *t, const struct suspect_news *news,
		   struct peer *from);
void suspects_tell_newcomer(struct suspects *t, struct peer *peer);
bool suspects_take_row(struct suspects *t, const struct store_row *row);
void suspects_keep_only(struct suspects *t, const struct store_row *rows,
			size_t n);

#endif /* PROXYD_SUSPECTS_H */
