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

enum suspect_update_kind {
	SUSPECT_CRASH, /* an endpoint crashed while running it */
	SUSPECT_REFUSED, /* the content is refused from now on */
	SUSPECT_COMPLETED, /* a run completed: the content is safe */
};

/* An update on a content between instances.  Times are of the local clock,
 * ms. */
struct suspect_update {
	enum suspect_update_kind kind;
	uint64_t content;
	struct run_crash crash; /* of SUSPECT_CRASH */
	uint64_t until_ms; /* of SUSPECT_REFUSED */
	uint64_t since_ms; /* start of the first run that counts */
};

struct suspects *suspects_new(struct proxyd *p);
void suspects_tick(struct suspects *t);
void suspects_run_broke(struct exchange *x, struct endpoint *e);
void suspects_run_left(struct exchange *x);
void suspects_endpoint_lost(struct exchange *x, struct endpoint *e);
void suspects_endpoint_crashed(struct suspects *t, struct endpoint *e);
void suspects_endpoint_alive(struct endpoint *e, uint64_t probed_ms);
void suspects_run_completed(struct exchange *x);
void suspects_run_began(struct exchange *x);
bool suspects_hold_or_refuse(struct exchange *x);
bool suspects_has_record(const struct exchange *x);
bool suspects_may_run(const struct exchange *x);
void suspects_receive(struct suspects *t, const struct suspect_update *update,
		      struct peer *from);
void suspects_receive_parts(struct suspects *t, const struct run_crash *crash,
			    const uint64_t *parts, size_t n, struct peer *from);
void suspects_send_refusals(struct suspects *t, struct peer *peer);
bool suspects_apply_row(struct suspects *t, const struct store_row *row);
void suspects_remove_unlisted(struct suspects *t, const struct store_row *rows,
			      size_t n, bool from_copy);

#endif /* PROXYD_SUSPECTS_H */
