/*
 * Helpers of the commands of cdmctl: files, JSON, output and the addresses of
 * the cdmentryds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"
#include "lib/xalloc.h"

/* Prints the error of a failed call; returns the exit status. */
int print_failure(const struct client_answer *answer)
{
	fprintf(stderr, "cdmctl: %s\n", answer->error);
	return EXIT_FAILED;
}

/* Returns a file's content, which the caller frees, or NULL after a message if
 * it can't be opened. */
char *read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "rb");
	char *text = NULL;
	char buf[8192];
	size_t n;

	*len = 0;
	if (!f) {
		perror(path);
		return NULL;
	}
	while ((n = fread(buf, 1, sizeof(buf), f)) > 0) {
		text = xreallocarray(text, *len + n + 1, 1);
		memcpy(text + *len, buf, n);
		*len += n;
		text[*len] = '\0';
	}
	if (ferror(f))
		perror(path);
	fclose(f);
	return text ? text : xstrdup("");
}

/* Prints indented JSON. */
void print_json(const json_t *json)
{
	char *text = json_dumps(json, JSON_INDENT(2));

	puts(text ? text : "{}");
	free(text);
}

/* Returns a string field, or "" if it is missing or no string. */
const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

/* Returns an integer field, or 0 if it is missing or no integer. */
json_int_t get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Prints the changes of a plan, one per line. */
void print_changes(const json_t *changes)
{
	const json_t *change;
	const char *keys;
	size_t i;

	json_array_foreach(changes, i, change)
	{
		keys = get_string(change, "keys");
		printf("  %s %s %s%s%s\n", get_string(change, "change"),
		       get_string(change, "section"),
		       get_string(change, "name"), *keys ? ": " : "", keys);
	}
}

/* Returns the operators' addresses of the cdmentryds that each instance's
 * cdmfleetd lists; instances that don't answer are left out.  Returns NULL
 * after a message if no server gives the list of instances. */
json_t *entry_addresses(struct command *c)
{
	struct client_answer status, own;
	json_t *list = json_array();
	const json_t *instance;
	const json_t *entryd;
	size_t i, j;

	client_call(&c->client, "GET", "/v1/status", NULL, 0, &status);
	if (status.outcome != CLIENT_OK || status.status != 200) {
		print_failure(&status);
		client_release(&status);
		json_decref(list);
		return NULL;
	}
	json_array_foreach(json_object_get(status.json, "instances"), i,
			   instance)
	{
		if (!*get_string(instance, "operator_address"))
			continue;
		client_get(get_string(instance, "operator_address"),
			   "/v1/status", &own);
		json_array_foreach(json_object_get(own.json, "entryds"), j,
				   entryd) if (*get_string(entryd,
							   "operator_address"))
			json_array_append(list,
					  json_object_get(entryd,
							  "operator_address"));
		client_release(&own);
	}
	client_release(&status);
	return list;
}
