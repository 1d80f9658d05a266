/*
 * An accepted configuration is in force everywhere within seconds and never
 * reverts: races, lost answers, outages, pauses and partitions, with real
 * cdmfleetds behind the fault proxy.
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

#define RACERS 4

/* Returns an operators' file that differs by a queue's length. */
static const char *file_with_queue(struct control_fleet *f, int queue)
{
	char name[32];
	char more[64];

	snprintf(name, sizeof(name), "config-%d.toml", queue);
	snprintf(more, sizeof(more), "queue_max = %d\n", queue);
	return control_config(f, name, more);
}

/* Of operators who apply at once through different instances, one wins; the
 * others are told so, and everywhere the winner's file is in force. */
static void test_race(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);
	struct proc *ctl[RACERS];
	char author[32];
	json_t *status;
	int won = -1;
	int code;
	int i;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	for (i = 0; i < RACERS; i++) {
		const char *args[] = { "-a",	author,
				       "-b",	"1",
				       "-w",	"20",
				       "apply", file_with_queue(f, 10 + i),
				       NULL };

		snprintf(author, sizeof(author), "operator-%d", i);
		ctl[i] = control_ctl(f, (size_t)i % f->n, args);
	}
	for (i = 0; i < RACERS; i++) {
		code = proc_wait(ctl[i]);
		assert_true(code == 0 || code == 3);
		assert_true(code || won < 0);
		if (!code)
			won = i;
	}
	assert_true(won >= 0);
	control_wait_version(f, 2);
	snprintf(author, sizeof(author), "operator-%d", won);
	for (i = 0; i < (int)f->n; i++) {
		status = control_status(f, (size_t)i);
		assert_string_equal(
			json_string_value(json_object_get(
				json_object_get(status, "config"), "author")),
			author);
		json_decref(status);
	}
	control_fleet_free(f);
}

/* The answer to the commit is lost after it took effect: the operator is told
 * that the file is in force, and no second version comes of it. */
static void test_lost_answer(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_platform(f, "{\"lose_answers\":1}");
	assert_int_equal(control_apply(f, 1, file_with_queue(f, 2), "20"), 0);
	control_wait_version(f, 2);
	assert_int_equal(harness_counter(f->h, f->instances[1].operator_address,
					 "cdmfleetd_commits_accepted"),
			 1);
	control_fleet_free(f);
}

/* Without the table nothing is accepted, and the operator is told so. */
static void test_outage_before(void **state)
{
	static const char *const outages[] = { "{\"outage\":\"refuse\"}",
					       "{\"outage\":\"silent\"}" };
	struct control_fleet *f = control_fleet_new(2, 2);
	size_t i;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	for (i = 0; i < 2; i++) {
		control_platform(f, outages[i]);
		assert_int_equal(
			control_apply(f, 0, file_with_queue(f, 2), "1"), 1);
	}
	control_platform(f, "{\"outage\":\"none\"}");
	assert_int_equal(control_apply(f, 1, file_with_queue(f, 3), "20"), 0);
	control_wait_version(f, 2);
	control_fleet_free(f);
}

/* The store goes silent right after acceptance, before anybody else could
 * read it: the others get the file from the one that has it. */
static void test_outage_after(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);
	size_t i;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_cut(f, f->instances[1].platform, "freeze");
	control_cut(f, f->instances[2].platform, "freeze");
	for (i = 0; i < f->n; i++)
		control_cut(f, f->instances[i].advertised, "freeze");
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 2), "0"), 4);
	control_platform(f, "{\"outage\":\"silent\"}");
	for (i = 0; i < f->n; i++)
		control_cut(f, f->instances[i].advertised, "pass");
	control_wait_version(f, 2);
	control_platform(f, "{\"outage\":\"none\"}");
	control_fleet_free(f);
}

/* An instance that is paused across two changes wakes up to the later one. */
static void test_paused(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_wait_version(f, 1);
	control_pause(f, 2, true);
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 2), "0"), 4);
	control_wait_version(f, 2);
	assert_int_equal(control_apply(f, 1, file_with_queue(f, 3), "0"), 4);
	control_wait_version(f, 3);
	control_pause(f, 2, false);
	control_wait_version(f, 3);
	control_fleet_free(f);
}

/* A newcomer and a restarted instance take the file from others while the
 * platform is out. */
static void test_newcomer_in_outage(void **state)
{
	struct control_fleet *f = control_fleet_new(2, 2);

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_platform(f, "{\"outage\":\"silent\"}");
	control_start(f, 2);
	control_wait_version(f, 1);
	proc_kill(f->instances[0].proc);
	control_start(f, 0);
	control_wait_version(f, 1);
	control_fleet_free(f);
}

/* The version's own row is there. */
static bool is_committed(void *arg)
{
	struct control_fleet *f = arg;
	struct answer a;
	bool there;

	harness_call(f->h, "GET", f->platform,
		     "/table/row?key=config/version/2", NULL, &a);
	there = a.status == 200;
	answer_release(&a);
	return there;
}

/* The instance that has the file accepted is killed before it can say so:
 * cdmctl finds out from another one. */
static void test_accepting_instance_dies(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);
	const char *file = file_with_queue(f, 2);
	const char *args[] = { "-s",	f->instances[1].operator_address,
			       "-w",	"25",
			       "apply", file,
			       NULL };
	struct proc *ctl;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_platform(f, "{\"slow_ms\":400}");
	ctl = control_ctl(f, 0, args);
	harness_until(f->h, is_committed, f, "the file is accepted");
	proc_kill(f->instances[0].proc);
	assert_int_equal(proc_wait(ctl), 0);
	control_platform(f, "{\"slow_ms\":0}");
	control_start(f, 0);
	control_wait_version(f, 2);
	control_fleet_free(f);
}

#define MANY_VERSIONS 36 /* more than have rows of their own */

/* The first version's own row is gone. */
static bool first_row_gone(void *arg)
{
	struct control_fleet *f = arg;
	struct answer a;
	bool gone;

	harness_call(f->h, "GET", f->platform,
		     "/table/row?key=config/version/1", NULL, &a);
	gone = a.status == 404;
	answer_release(&a);
	return gone;
}

/* Many changes in a row are each accepted, the table keeps few rows of them,
 * and a late base is still told who won. */
static void test_many_versions(void **state)
{
	struct control_fleet *f = control_fleet_new(2, 2);
	const char *server = f->instances[0].operator_address;
	struct answer a;
	char path[64];
	char body[256];
	int i;

	(void)state;
	for (i = 0; i < MANY_VERSIONS; i++) {
		snprintf(path, sizeof(path), "/v1/config?base=%d&author=x", i);
		snprintf(body, sizeof(body),
			 "[cluster]\ncursor_key = \"0123456789abcdef\"\n"
			 "entries_ttl_s = %d\n",
			 i + 1);
		harness_call(f->h, "POST", server, path, body, &a);
		assert_int_equal(a.status, 200);
		answer_release(&a);
	}
	harness_until(f->h, first_row_gone, f, "an old row is removed");
	harness_call(f->h, "POST", server, "/v1/config?base=0", body, &a);
	assert_int_equal(a.status, 409);
	assert_int_equal(json_integer_value(json_object_get(a.json, "version")),
			 MANY_VERSIONS);
	answer_release(&a);
	control_wait_version(f, MANY_VERSIONS);
	control_fleet_free(f);
}

/* A zone is cut from the others and from the platform: it keeps what it has,
 * and takes the later version when the cut heals. */
static void test_partition(void **state)
{
	static const char *const modes[] = { "freeze", "cut" };
	struct control_fleet *f = control_fleet_new(3, 3);
	double version = 1;
	size_t i, k;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_wait_version(f, 1);
	for (k = 0; k < 2; k++) {
		control_cut(f, f->instances[2].platform, modes[k]);
		for (i = 0; i < f->n; i++)
			control_cut(f, f->instances[i].advertised, modes[k]);
		assert_int_equal(control_apply(f, 0,
					       file_with_queue(f, 5 + (int)k),
					       "0"),
				 4);
		control_sample(f);
		assert_true(f->instances[2].version == version);
		version++;
		control_cut(f, f->instances[2].platform, "pass");
		for (i = 0; i < f->n; i++)
			control_cut(f, f->instances[i].advertised, "pass");
		control_wait_version(f, version);
	}
	control_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_race),
		cmocka_unit_test(test_lost_answer),
		cmocka_unit_test(test_outage_before),
		cmocka_unit_test(test_outage_after),
		cmocka_unit_test(test_paused),
		cmocka_unit_test(test_newcomer_in_outage),
		cmocka_unit_test(test_accepting_instance_dies),
		cmocka_unit_test(test_many_versions),
		cmocka_unit_test(test_partition),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
