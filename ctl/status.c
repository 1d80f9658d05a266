/*
 * cdmctl status, drain and undrain: shows the state of the fleet, and drains
 * endpoints and instances.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"

static void print_instances(const json_t *list);
static void print_endpoints(const json_t *list);
static void print_leases(const json_t *list);
static void print_suspects(const json_t *list);

/* Prints the state of the fleet as one instance reports it; returns the exit
 * status. */
int command_status(struct command *c)
{
	struct client_answer answer;
	const json_t *config;
	int status = EXIT_FAILED;

	client_call(&c->client, "GET", "/v1/status", NULL, 0, &answer);
	if (answer.outcome != CLIENT_OK || answer.status != 200) {
		print_failure(&answer);
		goto out;
	}
	status = EXIT_DONE;
	if (c->json) {
		print_json(answer.json);
		goto out;
	}
	config = json_object_get(answer.json, "config");
	printf("configuration version %" JSON_INTEGER_FORMAT
	       " by %s (%s), as seen by %s\n",
	       get_integer(config, "version"), get_string(config, "author"),
	       get_string(config, "standing"),
	       get_string(answer.json, "instance"));
	print_instances(json_object_get(answer.json, "instances"));
	print_endpoints(json_object_get(answer.json, "endpoints"));
	print_leases(json_object_get(answer.json, "leases"));
	print_suspects(json_object_get(answer.json, "suspects"));
out:
	client_release(&answer);
	return status;
}

/* Drains an endpoint or instance, or cancels that; returns the exit status. */
int command_drain(struct command *c)
{
	struct client_answer answer;
	json_t *body;
	char *text;
	int status = EXIT_DONE;

	if (strcmp(c->args[0], "endpoint") != 0 &&
	    strcmp(c->args[0], "instance") != 0) {
		fprintf(stderr, "cdmctl: %s is neither endpoint nor instance\n",
			c->args[0]);
		return EXIT_USAGE;
	}
	body = json_pack("{s:s, s:b}", c->args[0], c->args[1], "undo", c->undo);
	text = json_dumps(body, JSON_COMPACT);
	client_call(&c->client, "POST", "/v1/drain", text, strlen(text),
		    &answer);
	if (answer.outcome != CLIENT_OK || answer.status != 200)
		status = print_failure(&answer);
	else
		printf("%s %s is %s\n", c->args[0], c->args[1],
		       c->undo ? "no longer drained"
			       : "leaving and gets no new work");
	client_release(&answer);
	json_decref(body);
	free(text);
	return status;
}

static void print_instances(const json_t *list)
{
	const json_t *e;
	size_t i;

	printf("\n%-20s %-16s %-8s %8s  %s\n", "INSTANCE", "ZONE", "STATE",
	       "VERSION", "CALLERS CONNECT TO");
	json_array_foreach(list, i, e)
	{
		const json_t *entries = json_object_get(e, "entries");
		const json_t *address;
		size_t j;

		printf("%-20s %-16s %-8s %8" JSON_INTEGER_FORMAT " ",
		       get_string(e, "name"), get_string(e, "zone"),
		       get_string(e, "state"),
		       get_integer(e, "config_version"));
		json_array_foreach(entries, j, address)
			printf(" %s", json_string_value(address));
		putchar('\n');
	}
}

static void print_endpoints(const json_t *list)
{
	const json_t *e;
	const char *state;
	size_t i;

	printf("\n%-20s %-18s %-16s %-8s %s\n", "ENDPOINT", "SERVICE", "ZONE",
	       "STATE", "RUNNING/SLOTS QUEUED");
	json_array_foreach(list, i, e)
	{
		state = json_is_true(json_object_get(e, "up")) ? "up" : "down";
		if (json_is_true(json_object_get(e, "leaving")))
			state = "leaving";
		printf("%-20s %-18s %-16s %-8s ", get_string(e, "name"),
		       get_string(e, "service"), get_string(e, "zone"), state);
		if (get_integer(e, "slots"))
			printf("%" JSON_INTEGER_FORMAT "/%" JSON_INTEGER_FORMAT
			       " %" JSON_INTEGER_FORMAT,
			       get_integer(e, "running"),
			       get_integer(e, "slots"),
			       get_integer(e, "queued"));
		else
			printf("-");
		putchar('\n');
	}
}

static void print_leases(const json_t *list)
{
	const json_t *e;
	const char *holder;
	size_t i;

	if (!json_array_size(list))
		return;
	printf("\n%-20s %-20s %s\n", "LEASE OF", "HOLDER", "FENCING NUMBER");
	json_array_foreach(list, i, e)
	{
		holder = get_string(e, "holder");
		printf("%-20s %-20s %" JSON_INTEGER_FORMAT "\n",
		       get_string(e, "service"), *holder ? holder : "-",
		       get_integer(e, "fencing"));
	}
}

static void print_suspects(const json_t *list)
{
	const json_t *e;
	size_t i;

	if (!json_array_size(list))
		return;
	printf("\n%-20s %-8s %s\n", "SUSPECT REQUEST", "DEATHS", "JUDGED");
	json_array_foreach(list, i, e)
		printf("%-20s %-8" JSON_INTEGER_FORMAT " %s\n",
		       get_string(e, "request"), get_integer(e, "deaths"),
		       json_is_true(json_object_get(e, "convicted"))
			       ? "convicted, refused"
			       : "suspect, runs apart");
}
