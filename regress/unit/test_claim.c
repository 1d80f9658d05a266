/* Unit tests of policy/claim.c: tables of event sequences. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/claim.h"

enum { NONCE = 7, OTHER = 8, BODY = 70, OTHER_BODY = 80, STEPS_MAX = 12 };

struct step {
	enum claim_event_type type;
	enum claim_action action;
	struct claim_row row;
	uint64_t now;
};

struct claim_case {
	const char *name;
	bool first_copy;
	enum claim_run run; /* of the refusal, if any */
	enum claim_reason reason;
	struct step step[STEPS_MAX];
};

#define OWN_ROW                                     \
	{                                           \
		.nonce = NONCE, .body_digest = BODY \
	}
#define FOREIGN_ROW                                 \
	{                                           \
		.nonce = OTHER, .body_digest = BODY \
	}
#define ANSWERED                                                       \
	{                                                              \
		.nonce = OTHER, .body_digest = BODY, .answered = true, \
		.answer_kept = true                                    \
	}
#define NOT_STORED                                                    \
	{                                                             \
		.nonce = OTHER, .body_digest = BODY, .answered = true \
	}
#define OTHER_CALL                                        \
	{                                                 \
		.nonce = OTHER, .body_digest = OTHER_BODY \
	}
#define BEGIN                                    \
	{                                        \
		CLAIM_EV_BEGIN, CLAIM_ACT_INSERT \
	}
#define INSERTED                                     \
	{                                            \
		CLAIM_EV_INSERTED, CLAIM_ACT_CONNECT \
	}
#define SENT                                       \
	{                                          \
		CLAIM_EV_CONNECTED, CLAIM_ACT_SEND \
	}

static const struct claim_case cases[] = {
	{ "plain run", .step = { BEGIN,
				 INSERTED,
				 SENT,
				 { CLAIM_EV_ANSWER, CLAIM_ACT_REPLY_STORE },
				 { CLAIM_EV_STORED, CLAIM_ACT_CLOSE } } },
	{ "answer stored at the second try",
	  .step = { BEGIN,
		    INSERTED,
		    SENT,
		    { CLAIM_EV_ANSWER, CLAIM_ACT_REPLY_STORE },
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_STORE },
		    { CLAIM_EV_STORED, CLAIM_ACT_CLOSE } } },
	{ "insert answer lost, row has this copy's nonce",
	  .step = { BEGIN,
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_READ },
		    { CLAIM_EV_ROW, CLAIM_ACT_CONNECT, OWN_ROW },
		    SENT } },
	{ "insert answer lost, no row, second insert conflicts with the first",
	  .step = { BEGIN,
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_READ },
		    { CLAIM_EV_NO_ROW, CLAIM_ACT_INSERT },
		    { CLAIM_EV_CONFLICT, CLAIM_ACT_CONNECT, OWN_ROW } } },
	{ "insert answer lost, row of another copy", .run = CLAIM_MAY_HAVE_RUN,
	  .reason = CLAIM_REASON_IN_PROGRESS,
	  .step = { BEGIN,
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_READ },
		    { CLAIM_EV_ROW, CLAIM_ACT_REFUSE, FOREIGN_ROW } } },
	{ "answer stored by another copy",
	  .step = { BEGIN,
		    { CLAIM_EV_CONFLICT, CLAIM_ACT_REPLAY, ANSWERED } } },
	{ "call ran, answer not stored", .run = CLAIM_RAN,
	  .reason = CLAIM_REASON_ANSWER_NOT_KEPT,
	  .step = { BEGIN,
		    { CLAIM_EV_CONFLICT, CLAIM_ACT_REFUSE, NOT_STORED } } },
	{ "key of another call", .run = CLAIM_NOT_RUN,
	  .reason = CLAIM_REASON_KEY_REUSED,
	  .step = { BEGIN,
		    { CLAIM_EV_CONFLICT, CLAIM_ACT_REFUSE, OTHER_CALL } } },
	{ "store down, first copy", .first_copy = true, .run = CLAIM_NOT_RUN,
	  .reason = CLAIM_REASON_STORE_DOWN,
	  .step = { BEGIN,
		    { CLAIM_EV_STORE_REFUSED, CLAIM_ACT_REFUSE_RELEASE } } },
	{ "store down, an earlier copy may have run", .run = CLAIM_MAY_HAVE_RUN,
	  .reason = CLAIM_REASON_STORE_DOWN,
	  .step = { BEGIN,
		    { CLAIM_EV_STORE_REFUSED, CLAIM_ACT_REFUSE_RELEASE } } },
	{ "store stays down after a lost answer", .first_copy = true,
	  .run = CLAIM_NOT_RUN, .reason = CLAIM_REASON_STORE_DOWN,
	  .step = { BEGIN,
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_READ },
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_READ },
		    { CLAIM_EV_STORE_REFUSED, CLAIM_ACT_READ },
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_REFUSE_RELEASE },
		    { CLAIM_EV_STORE_LOST, CLAIM_ACT_RELEASE } } },
	{ "connect fails, another endpoint",
	  .step = { BEGIN,
		    INSERTED,
		    { CLAIM_EV_CONNECT_FAILED, CLAIM_ACT_CONNECT },
		    SENT } },
	{ "no endpoint", .run = CLAIM_NOT_RUN,
	  .reason = CLAIM_REASON_NO_ENDPOINT,
	  .step = { BEGIN,
		    INSERTED,
		    { CLAIM_EV_CONNECT_FAILED, CLAIM_ACT_CONNECT },
		    { CLAIM_EV_CONNECT_FAILED, CLAIM_ACT_CONNECT },
		    { CLAIM_EV_CONNECT_FAILED, CLAIM_ACT_REFUSE_RELEASE },
		    { CLAIM_EV_CONNECTED, CLAIM_ACT_NONE },
		    { CLAIM_EV_STORED, CLAIM_ACT_CLOSE } } },
	{ "answer lost after sending", .run = CLAIM_MAY_HAVE_RUN,
	  .reason = CLAIM_REASON_ANSWER_LOST,
	  .step = { BEGIN,
		    INSERTED,
		    SENT,
		    { CLAIM_EV_ANSWER_LOST, CLAIM_ACT_REFUSE },
		    { CLAIM_EV_CONNECTED, CLAIM_ACT_NONE } } },
	{ "holder paused before sending", .run = CLAIM_NOT_RUN,
	  .reason = CLAIM_REASON_DEADLINE,
	  .step = { BEGIN,
		    INSERTED,
		    { CLAIM_EV_CONNECTED, CLAIM_ACT_REFUSE_RELEASE,
		      .now = 5000 } } },
	{ "holder paused before connecting", .run = CLAIM_NOT_RUN,
	  .reason = CLAIM_REASON_DEADLINE,
	  .step = { BEGIN,
		    { CLAIM_EV_INSERTED, CLAIM_ACT_REFUSE_RELEASE,
		      .now = 5000 } } },
	{ "caller disconnects before sending", .run = CLAIM_NOT_RUN,
	  .reason = CLAIM_REASON_DEADLINE,
	  .step = { BEGIN,
		    INSERTED,
		    { CLAIM_EV_CANCELLED, CLAIM_ACT_NONE },
		    { CLAIM_EV_CONNECTED, CLAIM_ACT_REFUSE_RELEASE } } },
	{ "caller disconnects after sending: the answer is still stored",
	  .step = { BEGIN,
		    INSERTED,
		    SENT,
		    { CLAIM_EV_CANCELLED, CLAIM_ACT_NONE },
		    { CLAIM_EV_ANSWER, CLAIM_ACT_REPLY_STORE } } },
};

static void run_case(const struct claim_case *c)
{
	struct claim_decision d;
	struct claim claim;
	int i;

	claim_init(&claim, NONCE, BODY, 1000, c->first_copy);
	for (i = 0; i < STEPS_MAX; i++) {
		const struct step *s = &c->step[i];
		const struct claim_event ev = { s->type, s->row, s->now };

		if (i && s->type == CLAIM_EV_BEGIN)
			return;
		d = claim_step(&claim, &claim_defaults, &ev);
		if (d.action != s->action)
			fail_msg("%s: step %d: action %d", c->name, i,
				 d.action);
		if (d.action != CLAIM_ACT_REFUSE &&
		    d.action != CLAIM_ACT_REFUSE_RELEASE)
			continue;
		assert_int_equal(d.run, c->run);
		assert_int_equal(d.reason, c->reason);
	}
}

static void test_cases(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}

/* After the call was sent, no event makes a copy send it again. */
static void test_sends_once(void **state)
{
	int first, second;

	(void)state;
	for (first = 0; first <= CLAIM_EV_CANCELLED; first++)
		for (second = 0; second <= CLAIM_EV_CANCELLED; second++) {
			struct claim claim = { .state = CLAIM_SENT,
					       .nonce = NONCE };
			const struct claim_event ev[] = {
				{ .type = first, .row = OWN_ROW },
				{ .type = second, .row = OWN_ROW },
				{ .type = CLAIM_EV_CONNECTED },
			};
			size_t i;

			for (i = 0; i < 3; i++)
				assert_int_not_equal(claim_step(&claim,
								&claim_defaults,
								&ev[i])
							     .action,
						     CLAIM_ACT_SEND);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_sends_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
