/*
 * cdmctl explain: the events of one request, collected from all cdmentryds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"
#include "lib/xalloc.h"

static void add_events(json_t *all, const json_t *events, const char *address);
static int compare_events(const void *a, const void *b);
static void print_sorted(json_t *all);

/* Prints the events of a request, as text by time or as JSON in the order
 * received; returns the exit status. */
int command_explain(struct command *c)
{
	char *escaped = client_url_encode(c->args[0]);
	char *path = xasprintf("/v1/explain?request=%s", escaped);
	json_t *addresses = entry_addresses(c);
	struct client_answer answer;
	json_t *all = json_array();
	int status = EXIT_FAILED;
	const json_t *address;
	size_t n_failed = 0;
	size_t i;

	if (!addresses)
		goto out;
	json_array_foreach(addresses, i, address)
	{
		client_get(json_string_value(address), path, &answer);
		if (answer.outcome != CLIENT_OK)
			n_failed++;
		if (answer.outcome == CLIENT_OK && answer.status == 200)
			add_events(all, json_object_get(answer.json, "events"),
				   json_string_value(address));
		client_release(&answer);
	}
	if (n_failed)
		fprintf(stderr,
			"cdmctl: %zu of %zu cdmentryds did not answer\n",
			n_failed, json_array_size(addresses));
	if (json_array_size(all)) {
		status = EXIT_DONE;
		if (c->json)
			print_json(all);
		else
			print_sorted(all);
	} else {
		fprintf(stderr, "cdmctl: no cdmentryd knows of request %s\n",
			c->args[0]);
	}
out:
	json_decref(addresses);
	json_decref(all);
	free(path);
	free(escaped);
	return status;
}

/* Adds the events that one cdmentryd reports, with its address. */
static void add_events(json_t *all, const json_t *events, const char *address)
{
	json_t *event;
	size_t i;

	json_array_foreach(events, i, event)
	{
		json_object_set_new(event, "by", json_string(address));
		json_array_append(all, event);
	}
}

/* Compares the times, which are of RFC 3339 and therefore sort as text. */
static int compare_events(const void *a, const void *b)
{
	const json_t *const *x = a;
	const json_t *const *y = b;

	return strcmp(get_string(*x, "time"), get_string(*y, "time"));
}

/* Prints the events in order of time, one per line. */
static void print_sorted(json_t *all)
{
	size_t n = json_array_size(all);
	size_t size = sizeof(json_t *);
	const json_t **events = xcalloc(n, size);
	size_t i;

	for (i = 0; i < n; i++)
		events[i] = json_array_get(all, i);
	qsort(events, n, size, compare_events);
	for (i = 0; i < n; i++)
		printf("%s  %s\n", get_string(events[i], "time"),
		       get_string(events[i], "text"));
	free(events);
}
