/*
 * JSON encoding of requests to the platform and decoding of its responses.
 */
#include "lib/platform_json.h"

#include <ctype.h>
#include <string.h>

#include "lib/xalloc.h"

/* Parses a row; its strings belong to object.  Returns false if the key or
 * version is missing. */
bool platform_row_parse(const json_t *object, struct platform_row *row)
{
	const json_t *version = json_object_get(object, "version");
	const json_t *value = json_object_get(object, "value");

	memset(row, 0, sizeof(*row));
	row->key = json_string_value(json_object_get(object, "key"));
	row->value = json_string_value(value);
	row->value_len = json_string_length(value);
	row->nonce = json_string_value(json_object_get(object, "nonce"));
	if (!row->nonce)
		row->nonce = "";
	if (json_is_integer(version) && json_integer_value(version) >= 0)
		row->version = (uint64_t)json_integer_value(version);
	if (!row->value)
		row->value = "";
	return row->key && json_is_integer(version);
}

/* Parses an entry of the instance list; its strings belong to object.  Returns
 * false if a member is missing. */
bool platform_instance_parse(const json_t *object, struct platform_instance *i)
{
	i->name = json_string_value(json_object_get(object, "name"));
	i->zone = json_string_value(json_object_get(object, "zone"));
	i->kind = json_string_value(json_object_get(object, "kind"));
	i->address = json_string_value(json_object_get(object, "address"));
	i->leaving = json_is_true(json_object_get(object, "leaving"));
	return i->name && i->zone && i->kind && i->address;
}

/* Returns prefix followed by text, percent-encoded except for unreserved bytes
 * and '/'; the caller frees it. */
char *platform_encode_path(const char *prefix, const char *text)
{
	static const char digits[] = "0123456789ABCDEF";
	char *path = xcalloc(strlen(prefix) + 3 * strlen(text) + 1, 1);
	char *out = stpcpy(path, prefix);
	unsigned char c;

	for (; *text; text++) {
		c = (unsigned char)*text;
		if (isalnum(c) || strchr("-._~/", c)) {
			*out++ = (char)c;
			continue;
		}
		*out++ = '%';
		*out++ = digits[c >> 4];
		*out++ = digits[c & 15];
	}
	return path;
}

/* Returns a conditional write as JSON; the caller owns the reference. */
json_t *platform_write_json(const struct platform_write *w)
{
	json_t *object = json_object();

	json_object_set_new(object, "key", json_string(w->key));
	json_object_set_new(object, "value",
			    w->value ? json_string(w->value) : json_null());
	json_object_set_new(object, "if_version",
			    json_integer((json_int_t)w->if_version));
	return object;
}
