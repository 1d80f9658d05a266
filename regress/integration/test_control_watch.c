/*
 * State of endpoints and instances: a loss, a recovery or a leaving state
 * reaches every instance, also those that don't watch the endpoint or can't
 * reach the platform, and draining persists across restarts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/control_fleet.h"

#define INSTANCES 4 /* more than the watchers of one endpoint */

struct fixture {
	struct control_fleet *f;
	const char *engine;
	struct proc *proc;
	const char *flag; /* of the endpoint, expected to have value */
	bool value;
	size_t subject; /* the instance expected to be in state */
	const char *state;
};

static void start_engine(struct fixture *x)
{
	x->proc = HARNESS_START(x->f->h, "engine", "engined", "-l", x->engine);
	harness_wait_listening(x->f->h, x->engine);
}

static struct fixture set_up(void)
{
	struct fixture x = { .f = control_fleet_new(INSTANCES, 2) };
	char more[256];

	x.engine = harness_address(x.f->h);
	start_engine(&x);
	snprintf(more, sizeof(more),
		 "[[endpoint]]\nname = \"e\"\nservice = \"s\"\n"
		 "address = \"%s\"\nzone = \"zone-1\"\n",
		 x.engine);
	assert_int_equal(
		control_apply(x.f, 0, control_write_config(x.f, "c.toml", more),
			      "20"),
		0);
	return x;
}

/* Tells whether every instance reports the expected value of the endpoint's
 * flag. */
static bool all_see(void *arg)
{
	struct fixture *x = arg;
	json_t *status;
	json_t *e;
	bool same;
	size_t i;

	for (i = 0; i < x->f->n; i++) {
		status = control_status(x->f, i);
		e = json_array_get(json_object_get(status, "endpoints"), 0);
		same = e &&
		       json_is_true(json_object_get(e, x->flag)) == x->value;
		json_decref(status);
		if (!same)
			return false;
	}
	return true;
}

static void wait_all_see(struct fixture *x, const char *flag, bool value)
{
	x->flag = flag;
	x->value = value;
	harness_until(x->f->h, all_see, x, flag);
}

/* Tells whether the other instances report the subject in the expected state.
 */
static bool others_see(void *arg)
{
	struct fixture *x = arg;
	const json_t *instance;
	json_t *status;
	bool same = true;
	size_t i, k;

	for (i = 0; i < x->f->n && same; i++) {
		if (i == x->subject)
			continue;
		status = control_status(x->f, i);
		json_array_foreach(json_object_get(status, "instances"), k, instance) if (
			!strcmp(json_string_value(
					json_object_get(instance, "name")),
				x->f->instances[x->subject].name)) same =
			!strcmp(json_string_value(
					json_object_get(instance, "state")),
				x->state);
		json_decref(status);
	}
	return same;
}

static void wait_others_see(struct fixture *x, size_t subject,
			    const char *state)
{
	x->subject = subject;
	x->state = state;
	harness_until(x->f->h, others_see, x, state);
}

static void drain(struct fixture *x, const char *command, const char *kind,
		  const char *name)
{
	const char *args[] = { command, kind, name, NULL };

	assert_int_equal(proc_wait(control_start_cdmctl(x->f, 1, args)), 0);
}

static void test_loss_and_recovery(void **state)
{
	struct fixture x = set_up();

	(void)state;
	wait_all_see(&x, "up", true);
	proc_kill(x.proc);
	wait_all_see(&x, "up", false);
	start_engine(&x);
	wait_all_see(&x, "up", true);
	control_fleet_free(x.f);
}

/* The platform's list marks an endpoint as leaving; an instance that can't
 * read the list learns this from its peers. */
static void test_listed_leaving(void **state)
{
	struct fixture x = set_up();

	(void)state;
	control_set_link_mode(x.f, x.f->instances[3].platform, "cut");
	harness_control(x.f->h, x.f->platform,
			"{\"instance\":{\"name\":\"e\",\"zone\":\"zone-1\","
			"\"kind\":\"endpoint\",\"address\":\"%s\","
			"\"leaving\":true}}",
			x.engine);
	wait_all_see(&x, "leaving", true);
	control_fleet_free(x.f);
}

/* A drained endpoint stays drained when every instance is restarted. */
static void test_drain_persists(void **state)
{
	struct fixture x = set_up();
	size_t i;

	(void)state;
	drain(&x, "drain", "endpoint", "e");
	wait_all_see(&x, "leaving", true);
	for (i = 0; i < x.f->n; i++)
		proc_kill(x.f->instances[i].proc);
	for (i = 0; i < x.f->n; i++)
		control_start(x.f, i);
	wait_all_see(&x, "leaving", true);
	drain(&x, "undrain", "endpoint", "e");
	wait_all_see(&x, "leaving", false);
	control_fleet_free(x.f);
}

/* Peers list a drained instance as leaving while it keeps running, and one
 * that was stopped gracefully as left. */
static void test_drain_instance(void **state)
{
	struct fixture x = set_up();

	(void)state;
	drain(&x, "drain", "instance", x.f->instances[2].name);
	wait_others_see(&x, 2, "leaving");
	assert_true(proc_running(x.f->instances[2].proc));
	assert_int_equal(proc_stop(x.f->instances[3].proc), 0);
	x.f->n = 3; /* the others */
	wait_others_see(&x, 3, "left");
	control_fleet_free(x.f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_loss_and_recovery),
		cmocka_unit_test(test_listed_leaving),
		cmocka_unit_test(test_drain_persists),
		cmocka_unit_test(test_drain_instance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
