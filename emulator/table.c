/*
 * The table of the stand-in platform.  The writes of a request are atomic, and
 * each requires that its row still has the version that the writer read.
 * Versions increase over the whole table, so a row that is deleted and created
 * again never reuses one.
 */
#include "emulator/table.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

static bool is_well_formed(const json_t *request);
static json_t *find_conflict(const struct table *t, const json_t *writes);
static json_t *apply(struct table *t, const json_t *writes, const char *nonce);
static int compare_keys(const void *a, const void *b);

/* Initializes an empty table. */
void table_init(struct table *t)
{
	t->rows = json_object();
	t->version = 0;
}

/* Frees the table's rows. */
void table_release(struct table *t)
{
	json_decref(t->rows);
}

/* Executes one request.  *answer is set to {"versions":[...]} or
 * {"conflict":ROW}, or to NULL for a malformed request. */
enum table_outcome table_write(struct table *t, const json_t *request,
			       json_t **answer)
{
	const json_t *writes = json_object_get(request, "writes");
	const char *nonce =
		json_string_value(json_object_get(request, "nonce"));
	json_t *conflict;

	*answer = NULL;
	if (!is_well_formed(request))
		return TABLE_MALFORMED;
	conflict = find_conflict(t, writes);
	if (conflict) {
		*answer = json_pack("{s:o}", "conflict", conflict);
		return TABLE_CONFLICT;
	}
	*answer = json_pack("{s:o}", "versions", apply(t, writes, nonce));
	return TABLE_WRITTEN;
}

/* Returns a new reference to a row, or NULL. */
json_t *table_row(const struct table *t, const char *key)
{
	return json_incref(json_object_get(t->rows, key));
}

/* Returns the rows whose keys start with prefix, sorted by key. */
json_t *table_scan(const struct table *t, const char *prefix)
{
	const char **keys = xcalloc(json_object_size(t->rows), sizeof(*keys));
	json_t *list = json_array();
	const char *key;
	json_t *row;
	size_t n = 0;
	size_t i;

	json_object_foreach(t->rows, key,
			    row) if (strncmp(key, prefix, strlen(prefix)) == 0)
		keys[n++] = key;
	qsort(keys, n, sizeof(*keys), compare_keys);
	for (i = 0; i < n; i++)
		json_array_append(list, json_object_get(t->rows, keys[i]));
	free(keys);
	return list;
}

/* Checks the types of a request's fields. */
static bool is_well_formed(const json_t *request)
{
	const json_t *writes = json_object_get(request, "writes");
	const json_t *write;
	size_t i;

	if (!json_is_string(json_object_get(request, "nonce")) ||
	    json_array_size(writes) == 0)
		return false;
	json_array_foreach(writes, i, write)
	{
		const json_t *value = json_object_get(write, "value");

		if (!json_is_string(json_object_get(write, "key")) ||
		    !json_is_integer(json_object_get(write, "if_version")) ||
		    !(json_is_string(value) || json_is_null(value)))
			return false;
	}
	return true;
}

/* Returns the first row whose version differs from if_version, or NULL.  A
 * missing row is returned with version 0. */
static json_t *find_conflict(const struct table *t, const json_t *writes)
{
	const json_t *write;
	size_t i;

	json_array_foreach(writes, i, write)
	{
		const char *key =
			json_string_value(json_object_get(write, "key"));
		json_int_t wanted = json_integer_value(
			json_object_get(write, "if_version"));
		json_t *row = json_object_get(t->rows, key);

		if (json_integer_value(json_object_get(row, "version")) ==
		    wanted)
			continue;
		if (row)
			return json_incref(row);
		return json_pack("{s:s, s:s, s:i, s:s}", "key", key, "value",
				 "", "version", 0, "nonce", "");
	}
	return NULL;
}

/* Writes all rows and returns the list of their new versions. */
static json_t *apply(struct table *t, const json_t *writes, const char *nonce)
{
	json_t *versions = json_array();
	const json_t *write;
	size_t i;

	json_array_foreach(writes, i, write)
	{
		const char *key =
			json_string_value(json_object_get(write, "key"));
		json_t *value = json_object_get(write, "value");

		t->version++;
		json_array_append_new(versions,
				      json_integer((json_int_t)t->version));
		if (json_is_null(value))
			json_object_del(t->rows, key);
		else
			json_object_set_new(t->rows, key,
					    json_pack("{s:s, s:O, s:I, s:s}",
						      "key", key, "value",
						      value, "version",
						      (json_int_t)t->version,
						      "nonce", nonce));
	}
	return versions;
}

/* Compares two keys for qsort(3). */
static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}
