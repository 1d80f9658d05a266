/*
 * Checks that requests of a class are served, and says what they got if not.
 */
#include "regress/soak/served_rule.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

static bool same_reason(const struct served_reason *a,
			const struct served_reason *b);

/* Records the end of a request of the class; len bytes of its body. */
void served_rule_record(struct served_class *c, enum http1_outcome outcome,
			int status, const char *body, size_t len)
{
	struct served_reason r = {
		.status = status,
		.outcome = outcome,
		.n = 1,
	};
	unsigned i;

	if (outcome == HTTP1_COMPLETE && status == 200) {
		c->served++;
		return;
	}
	if (len && status != 200)
		snprintf(r.text, sizeof(r.text), "%.*s", (int)len, body);
	r.text[strcspn(r.text, "\r\n")] = '\0';
	for (i = 0; i < c->n_reasons; i++) {
		if (!same_reason(&c->reasons[i], &r))
			continue;
		c->reasons[i].n++;
		return;
	}
	if (c->n_reasons < SERVED_RULE_REASONS)
		c->reasons[c->n_reasons++] = r;
}

/* Fails the test if no request of the class was served; prints what they got
 * instead. */
void served_rule_check(const struct served_class *c, const char *class_name,
		       uint64_t seed)
{
	unsigned i;

	if (c->served)
		return;
	for (i = 0; i < c->n_reasons; i++)
		print_message("seed %llu: %s not served, %u times: %s, "
			      "status %d %s\n",
			      (unsigned long long)seed, class_name,
			      c->reasons[i].n,
			      http1_outcome_name(c->reasons[i].outcome),
			      c->reasons[i].status, c->reasons[i].text);
	fail_msg("no %s is served after the faults", class_name);
}

/* Returns whether two requests got the same. */
static bool same_reason(const struct served_reason *a,
			const struct served_reason *b)
{
	return a->status == b->status && a->outcome == b->outcome &&
	       !strcmp(a->text, b->text);
}
