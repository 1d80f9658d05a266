/*
 * An accepted configuration is in force in every instance within seconds and
 * is never reverted: races, lost answers, outages, pauses and partitions, with
 * real cdmfleetds behind the fault proxy.
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

#define N_OPERATORS 4

/* Writes an operators' file with a queue length; returns its path. */
static const char *file_with_queue(struct control_fleet *f, int queue)
{
	char name[32];
	char more[64];

	snprintf(name, sizeof(name), "config-%d.toml", queue);
	snprintf(more, sizeof(more), "queue_max = %d\n", queue);
	return control_write_config(f, name, more);
}

/* Of several concurrent applies through different instances one is accepted,
 * the others exit with status 3 (conflict), and the accepted file is in force
 * in every instance. */
static void test_race(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);
	struct proc *ctl[N_OPERATORS];
	char author[32];
	json_t *status;
	int winner = -1;
	int code;
	int i;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	for (i = 0; i < N_OPERATORS; i++) {
		const char *args[] = { "-a",	author,
				       "-b",	"1",
				       "-w",	"20",
				       "apply", file_with_queue(f, 10 + i),
				       NULL };

		snprintf(author, sizeof(author), "operator-%d", i);
		ctl[i] = control_start_cdmctl(f, (size_t)i % f->n, args);
	}
	for (i = 0; i < N_OPERATORS; i++) {
		code = proc_wait(ctl[i]);
		assert_true(code == 0 || code == 3);
		assert_true(code || winner < 0);
		if (!code)
			winner = i;
	}
	assert_true(winner >= 0);
	control_wait_version(f, 2);
	snprintf(author, sizeof(author), "operator-%d", winner);
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

/* The answer to the commit is lost after it took effect: cdmctl reports that
 * the file is in force, and no second version is created. */
static void test_lost_answer(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_set_platform(f, "{\"lose_answers\":1}");
	assert_int_equal(control_apply(f, 1, file_with_queue(f, 2), "20"), 0);
	control_wait_version(f, 2);
	assert_int_equal(harness_counter(f->h, f->instances[1].operator_address,
					 "cdmfleetd_commits_accepted"),
			 1);
	control_fleet_free(f);
}

/* While the platform's table is unreachable nothing is accepted, and cdmctl
 * fails. */
static void test_outage_before(void **state)
{
	static const char *const outages[] = { "{\"outage\":\"refuse\"}",
					       "{\"outage\":\"silent\"}" };
	struct control_fleet *f = control_fleet_new(2, 2);
	size_t i;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	for (i = 0; i < 2; i++) {
		control_set_platform(f, outages[i]);
		assert_int_equal(
			control_apply(f, 0, file_with_queue(f, 2), "1"), 1);
	}
	control_set_platform(f, "{\"outage\":\"none\"}");
	assert_int_equal(control_apply(f, 1, file_with_queue(f, 3), "20"), 0);
	control_wait_version(f, 2);
	control_fleet_free(f);
}

/* The store stops answering right after acceptance, before another instance
 * has read the file: the others get it from the accepting instance. */
static void test_outage_after(void **state)
{
	struct control_fleet *f = control_fleet_new(3, 2);
	size_t i;

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_set_link_mode(f, f->instances[1].platform, "freeze");
	control_set_link_mode(f, f->instances[2].platform, "freeze");
	for (i = 0; i < f->n; i++)
		control_set_link_mode(f, f->instances[i].advertised, "freeze");
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 2), "0"), 4);
	control_set_platform(f, "{\"outage\":\"silent\"}");
	for (i = 0; i < f->n; i++)
		control_set_link_mode(f, f->instances[i].advertised, "pass");
	control_wait_version(f, 2);
	control_set_platform(f, "{\"outage\":\"none\"}");
	control_fleet_free(f);
}

/* An instance that is paused during two changes adopts the later one when it
 * resumes. */
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

/* A new and a restarted instance get the file from peers while the platform
 * is unreachable. */
static void test_new_instance_in_outage(void **state)
{
	struct control_fleet *f = control_fleet_new(2, 2);

	(void)state;
	assert_int_equal(control_apply(f, 0, file_with_queue(f, 1), "20"), 0);
	control_set_platform(f, "{\"outage\":\"silent\"}");
	control_start(f, 2);
	control_wait_version(f, 1);
	proc_kill(f->instances[0].proc);
	control_start(f, 0);
	control_wait_version(f, 1);
	control_fleet_free(f);
}

/* Tells whether the row of version 2 exists. */
static bool is_committed(void *arg)
{
	struct control_fleet *f = arg;
	struct answer a;
	bool exists;

	harness_call(f->h, "GET", f->platform,
		     "/table/row?key=config/version/2", NULL, &a);
	exists = a.status == 200;
	answer_release(&a);
	return exists;
}

/* The instance that has the file accepted is killed before it answers: cdmctl
 * learns the outcome from another instance. */
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
	control_set_platform(f, "{\"slow_ms\":400}");
	ctl = control_start_cdmctl(f, 0, args);
	harness_until(f->h, is_committed, f, "the file is accepted");
	proc_kill(f->instances[0].proc);
	assert_int_equal(proc_wait(ctl), 0);
	control_set_platform(f, "{\"slow_ms\":0}");
	control_start(f, 0);
	control_wait_version(f, 2);
	control_fleet_free(f);
}

#define MANY_VERSIONS 36 /* more than the table keeps rows for */

/* Tells whether the row of version 1 has been removed. */
static bool first_row_removed(void *arg)
{
	struct control_fleet *f = arg;
	struct answer a;
	bool removed;

	harness_call(f->h, "GET", f->platform,
		     "/table/row?key=config/version/1", NULL, &a);
	removed = a.status == 404;
	answer_release(&a);
	return removed;
}

/* Many changes in a row are each accepted, the table removes old rows, and an
 * apply on an outdated base gets a conflict with the current version. */
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
	harness_until(f->h, first_row_removed, f, "an old row is removed");
	harness_call(f->h, "POST", server, "/v1/config?base=0", body, &a);
	assert_int_equal(a.status, 409);
	assert_int_equal(json_integer_value(json_object_get(a.json, "version")),
			 MANY_VERSIONS);
	answer_release(&a);
	control_wait_version(f, MANY_VERSIONS);
	control_fleet_free(f);
}

/* A zone is partitioned from the others and from the platform: it keeps its
 * version, and adopts the later one when the partition ends. */
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
		control_set_link_mode(f, f->instances[2].platform, modes[k]);
		for (i = 0; i < f->n; i++)
			control_set_link_mode(f, f->instances[i].advertised,
					      modes[k]);
		assert_int_equal(control_apply(f, 0,
					       file_with_queue(f, 5 + (int)k),
					       "0"),
				 4);
		control_check_versions(f);
		assert_true(f->instances[2].version == version);
		version++;
		control_set_link_mode(f, f->instances[2].platform, "pass");
		for (i = 0; i < f->n; i++)
			control_set_link_mode(f, f->instances[i].advertised,
					      "pass");
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
		cmocka_unit_test(test_new_instance_in_outage),
		cmocka_unit_test(test_accepting_instance_dies),
		cmocka_unit_test(test_many_versions),
		cmocka_unit_test(test_partition),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
