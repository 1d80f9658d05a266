/*
 * cdmctl plan and apply: shows what a configuration file would change, commits
 * it and waits until all serving instances have it in force.
 */
#include <inttypes.h>
#include <pwd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl/command.h"
#include "lib/xalloc.h"

#define POLL_INTERVAL_MS 200
#define LOST_ANSWER_TIMEOUT_MS 15000 /* finding the result of a commit */
#define CONFLICT_PLAN_TIMEOUT_MS 10000 /* for the other version to be adopted */

/* In how many serving instances a version is in force. */
struct rollout {
	size_t in_force;
	size_t instances;
	char missing[512]; /* names of the others, separated by ", " */
};

static const char *user_name(void);
static bool request_plan(struct command *c, const char *text, size_t len,
			 struct client_answer *answer);
static char *file_query(const char *path);
static int wait_until_in_force(struct command *c, json_int_t version);
static bool count_in_force(struct command *c, json_int_t version,
			   struct rollout *s);
static int report_conflict(struct command *c,
			   const struct client_answer *answer, const char *text,
			   size_t len);
static int resolve_lost_answer(struct command *c, json_int_t version,
			       const char *text);
static int handle_commit_answer(struct command *c, struct client_answer *answer,
				json_int_t base, const char *text, size_t len);

/* Prints what a file would change; returns the exit status. */
int command_plan(struct command *c)
{
	struct client_answer answer;
	int status = EXIT_FAILED;
	char *text;
	size_t len;

	text = read_file(c->args[0], &len);
	if (!text)
		return EXIT_FAILED;
	if (!request_plan(c, text, len, &answer)) {
		print_failure(&answer);
		goto out;
	}
	status = EXIT_DONE;
	if (c->json) {
		print_json(answer.json);
		goto out;
	}
	if (!json_array_size(json_object_get(answer.json, "changes"))) {
		printf("nothing would change; version %" JSON_INTEGER_FORMAT
		       " is in force\n",
		       get_integer(answer.json, "base"));
		goto out;
	}
	printf("against version %" JSON_INTEGER_FORMAT " by %s:\n",
	       get_integer(answer.json, "base"),
	       get_string(answer.json, "author"));
	print_changes(json_object_get(answer.json, "changes"));
out:
	client_release(&answer);
	free(text);
	return status;
}

/* Commits a file and waits up to wait_s until it is in force in every serving
 * instance; returns the exit status. */
int command_apply(struct command *c)
{
	const char *author = c->author ? c->author : user_name();
	struct client_answer answer;
	int status = EXIT_FAILED;
	json_int_t base = c->base;
	char *escaped = NULL;
	char *query = NULL;
	char *path = NULL;
	char *text;
	size_t len;

	text = read_file(c->args[0], &len);
	if (!text)
		return EXIT_FAILED;
	if (!request_plan(c, text, len, &answer)) {
		print_failure(&answer);
		goto out;
	}
	if (base < 0)
		base = get_integer(answer.json, "base");
	if (!c->json)
		print_changes(json_object_get(answer.json, "changes"));
	client_release(&answer);
	escaped = client_url_encode(author);
	query = file_query(c->args[0]);
	path = xasprintf("/v1/config?base=%" JSON_INTEGER_FORMAT
			 "&author=%s&%s",
			 base, escaped, query);
	client_call(&c->client, "POST", path, text, len, &answer);
	status = handle_commit_answer(c, &answer, base, text, len);
out:
	client_release(&answer);
	free(escaped);
	free(query);
	free(path);
	free(text);
	return status;
}

/* Returns the user's name from $USER or the password database. */
static const char *user_name(void)
{
	const char *name = getenv("USER");
	const struct passwd *pw;

	if (name && *name)
		return name;
	pw = getpwuid(geteuid());
	return pw ? pw->pw_name : "unknown";
}

/* Requests the changes that the file would make; returns false, with the
 * reason in the answer, on failure.  The caller releases the answer. */
static bool request_plan(struct command *c, const char *text, size_t len,
			 struct client_answer *answer)
{
	char *query = file_query(c->args[0]);
	char *path = xasprintf("/v1/plan?%s", query);

	client_call(&c->client, "POST", path, text, len, answer);
	free(path);
	free(query);
	return answer->outcome == CLIENT_OK && answer->status == 200;
}

/* Returns the query parameter with the file's name, which the server uses in
 * its messages; the caller frees it. */
static char *file_query(const char *path)
{
	char *escaped = client_url_encode(path);
	char *query = xasprintf("file=%s", escaped);

	free(escaped);
	return query;
}

/* Completes the command according to the answer to the commit; returns the exit
 * status. */
static int handle_commit_answer(struct command *c, struct client_answer *answer,
				json_int_t base, const char *text, size_t len)
{
	if (answer->outcome == CLIENT_LOST ||
	    !strcmp(get_string(answer->json, "accepted"), "unknown"))
		return resolve_lost_answer(c, base + 1, text);
	if (answer->outcome != CLIENT_OK)
		return print_failure(answer);
	if (answer->status == 409)
		return report_conflict(c, answer, text, len);
	if (answer->status != 200)
		return print_failure(answer);
	return wait_until_in_force(c, get_integer(answer->json, "version"));
}

/* Waits up to wait_s until an accepted version is in force in every serving
 * instance, and prints the result; returns the exit status. */
static int wait_until_in_force(struct command *c, json_int_t version)
{
	uint64_t deadline = client_now_ms() + (uint64_t)c->wait_s * 1000;
	struct rollout s = { 0 };
	bool known;

	for (;;) {
		known = count_in_force(c, version, &s);
		if (known && s.in_force == s.instances)
			break;
		if (client_now_ms() >= deadline)
			break;
		client_sleep(POLL_INTERVAL_MS);
	}
	if (c->json)
		printf("{\"version\": %" JSON_INTEGER_FORMAT
		       ", \"in_force\": %zu, \"instances\": %zu}\n",
		       version, s.in_force, s.instances);
	else
		printf("version %" JSON_INTEGER_FORMAT
		       " accepted; in force in %zu of %zu instances%s%s\n",
		       version, s.in_force, s.instances,
		       *s.missing ? "; not yet in " : "", s.missing);
	return s.instances && s.in_force == s.instances ? EXIT_DONE
							: EXIT_PARTIAL;
}

/* Counts the serving instances that have the version or a later one in force;
 * returns false and keeps the former counts if the status can't be read. */
static bool count_in_force(struct command *c, json_int_t version,
			   struct rollout *s)
{
	struct client_answer answer;
	const json_t *instance;
	const char *state;
	bool ok;
	size_t i;

	client_call(&c->client, "GET", "/v1/status", NULL, 0, &answer);
	ok = answer.outcome == CLIENT_OK && answer.status == 200;
	if (ok)
		memset(s, 0, sizeof(*s));
	json_array_foreach(json_object_get(answer.json, "instances"), i,
			   instance)
	{
		state = get_string(instance, "state");
		if (strcmp(state, "alive") != 0 &&
		    strcmp(state, "suspect") != 0)
			continue;
		s->instances++;
		if (get_integer(instance, "config_version") >= version) {
			s->in_force++;
			continue;
		}
		snprintf(s->missing + strlen(s->missing),
			 sizeof(s->missing) - strlen(s->missing), "%s%s",
			 *s->missing ? ", " : "", get_string(instance, "name"));
	}
	client_release(&answer);
	return ok;
}

/* Prints which version was accepted instead, and how the file differs from it.
 * The server may not have adopted that version yet, so its plan is requested
 * again for up to CONFLICT_PLAN_TIMEOUT_MS. */
static int report_conflict(struct command *c,
			   const struct client_answer *answer, const char *text,
			   size_t len)
{
	uint64_t deadline = client_now_ms() + CONFLICT_PLAN_TIMEOUT_MS;
	json_int_t winner = get_integer(answer->json, "version");
	struct client_answer against;
	const json_t *changes;

	if (c->json) {
		print_json(answer->json);
		return EXIT_CONFLICT;
	}
	fprintf(stderr, "cdmctl: %s\n", answer->error);
	for (;;) {
		if (request_plan(c, text, len, &against) &&
		    get_integer(against.json, "base") >= winner)
			break;
		client_release(&against);
		if (client_now_ms() >= deadline)
			return EXIT_CONFLICT;
		client_sleep(POLL_INTERVAL_MS);
	}
	changes = json_object_get(against.json, "changes");
	if (json_array_size(changes))
		printf("against version %" JSON_INTEGER_FORMAT
		       " this file would change:\n",
		       get_integer(against.json, "base"));
	else
		printf("this file is the same as version %" JSON_INTEGER_FORMAT
		       "\n",
		       get_integer(against.json, "base"));
	print_changes(changes);
	client_release(&against);
	return EXIT_CONFLICT;
}

/* After a lost answer to the commit: polls the configuration in force until it
 * shows whether the version holds this file or another one. */
static int resolve_lost_answer(struct command *c, json_int_t version,
			       const char *text)
{
	uint64_t deadline = client_now_ms() + LOST_ANSWER_TIMEOUT_MS;
	struct client_answer answer;
	json_int_t in_force;
	bool same;

	fprintf(stderr, "cdmctl: no answer to the commit; checking which "
			"file is in force\n");
	while (client_now_ms() < deadline) {
		client_call(&c->client, "GET", "/v1/config", NULL, 0, &answer);
		in_force = get_integer(answer.json, "version");
		same = !strcmp(get_string(answer.json, "file"), text);
		client_release(&answer);
		if (in_force == version && same)
			return wait_until_in_force(c, version);
		if (in_force >= version) {
			fprintf(stderr,
				"cdmctl: another file is in force as version "
				"%" JSON_INTEGER_FORMAT "\n",
				in_force);
			return EXIT_CONFLICT;
		}
		client_sleep(POLL_INTERVAL_MS);
	}
	fprintf(stderr, "cdmctl: the file may have been accepted; check cdmctl "
			"status before applying it again\n");
	return EXIT_FAILED;
}
