/*
 * Validation of TOML tables against an array of struct setting, which describes
 * the allowed keys.  Errors are reported with file, line, key and the allowed
 * values.  Used for the daemons' settings and for the operators' file.
 */
#include "lib/settings.h"

#include <arpa/inet.h>
#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define SETTINGS_MAX 64 /* keys per table */
#define WORD_MAX 63 /* bytes of a word that edit_distance() compares */

/* The location of a value and the buffer for the error message. */
struct location {
	const char *file;
	int line;
	const char *key;
	char *err;
	size_t err_size;
};

static bool fail(const struct location *at, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static bool check_keys(const struct toml_node *table, const char *file,
		       const struct setting *settings, char *err,
		       size_t err_size);
static bool read_one(const struct toml_node *node, const struct setting *s,
		     void *target, const struct location *at);
static bool read_integer(const struct toml_node *node, const struct setting *s,
			 int64_t *out, const struct location *at);
static bool read_decimal(const struct toml_node *node, const struct setting *s,
			 double *out, const struct location *at);
static bool read_choice(const struct toml_node *node, const struct setting *s,
			int *out, const struct location *at);
static bool read_strings(const struct toml_node *node, struct string_list *out,
			 const struct location *at);
static unsigned edit_distance(const char *a, const char *b);

/*
 * Reads a table into the fields of target that settings describe.  Fields of
 * absent keys keep their values, so the caller sets defaults first, strings
 * allocated.  On error, returns false with a message in err; target then holds
 * the values read before the error.  settings_release() must be called in both
 * cases.
 */
bool settings_read(const struct toml_node *table, const char *file,
		   const struct setting *settings, void *target, char *err,
		   size_t err_size)
{
	const struct setting *s;

	if (!check_keys(table, file, settings, err, err_size))
		return false;
	for (s = settings; s->key; s++) {
		const struct toml_node *node = toml_get(table, s->key);
		struct location at = {
			.file = file,
			.line = node ? node->line : table->line,
			.key = s->key,
			.err = err,
			.err_size = err_size,
		};

		if (!node && s->required)
			return fail(&at, "missing, but required");
		if (node && !read_one(node, s, target, &at))
			return false;
	}
	return true;
}

/* Frees the strings that settings_read() stored in target. */
void settings_release(const struct setting *settings, void *target)
{
	const struct setting *s;

	for (s = settings; s->key; s++) {
		void *field = (char *)target + s->offset;

		if (s->type == SETTING_STRING || s->type == SETTING_ADDRESS) {
			free(*(char **)field);
			*(char **)field = NULL;
		} else if (s->type == SETTING_STRINGS) {
			struct string_list *list = field;

			while (list->n)
				free(list->items[--list->n]);
			free(list->items);
			list->items = NULL;
		}
	}
}

/* Returns the word with the smallest edit distance from word, or NULL if that
 * is more than half the length of word. */
const char *settings_nearest(const char *word, const char *const *words,
			     size_t n)
{
	unsigned best = (unsigned)strlen(word) / 2 + 1;
	const char *nearest = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		unsigned d = edit_distance(word, words[i]);

		if (d < best) {
			best = d;
			nearest = words[i];
		}
	}
	return nearest;
}

/* Splits a numeric IPv4 "host:port"; returns false if it is malformed. */
bool address_parse(const char *address, char *host, size_t host_size,
		   uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	struct in_addr in;
	const char *errstr;
	size_t len;

	if (!colon)
		return false;
	len = (size_t)(colon - address);
	if (len == 0 || len >= host_size)
		return false;
	memcpy(host, address, len);
	host[len] = '\0';
	if (inet_pton(AF_INET, host, &in) != 1)
		return false;
	if (colon[1 + strspn(colon + 1, "0123456789")] != '\0')
		return false; /* strtonum() accepts blanks and signs */
	*port = (uint16_t)strtonum(colon + 1, 0, UINT16_MAX, &errstr);
	return !errstr;
}

/* Writes "FILE:LINE: KEY: what is wrong"; returns false. */
static bool fail(const struct location *at, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(at->err, at->err_size, "%s:%d: %s: %s", at->file, at->line,
		 at->key, text);
	return false;
}

/* Rejects unknown keys; the message suggests the nearest known key. */
static bool check_keys(const struct toml_node *table, const char *file,
		       const struct setting *settings, char *err,
		       size_t err_size)
{
	const char *known[SETTINGS_MAX];
	size_t n = 0;
	size_t i;
	size_t j;

	while (n < SETTINGS_MAX && settings[n].key) {
		known[n] = settings[n].key;
		n++;
	}
	for (i = 0; i < table->n_children; i++) {
		const struct toml_node *node = &table->children[i];
		struct location at = {
			.file = file,
			.line = node->line,
			.key = node->key,
			.err = err,
			.err_size = err_size,
		};
		const char *nearest;

		for (j = 0; j < n && strcmp(known[j], node->key) != 0; j++)
			;
		if (j < n)
			continue;
		nearest = settings_nearest(node->key, known, n);
		if (nearest)
			return fail(&at, "unknown key, did you mean %s?",
				    nearest);
		return fail(&at, "unknown key");
	}
	return true;
}

/* Reads one value into its field of target. */
static bool read_one(const struct toml_node *node, const struct setting *s,
		     void *target, const struct location *at)
{
	void *field = (char *)target + s->offset;
	char host[64];
	uint16_t port;

	switch (s->type) {
	case SETTING_STRING:
		if (node->type != TOML_STRING || !*node->string)
			return fail(at, "must be a string, not empty");
		free(*(char **)field);
		*(char **)field = xstrdup(node->string);
		return true;
	case SETTING_ADDRESS:
		if (node->type != TOML_STRING ||
		    !address_parse(node->string, host, sizeof(host), &port))
			return fail(at, "must be a numeric IPv4 address and "
					"port, such as \"10.0.0.1:8080\"");
		free(*(char **)field);
		*(char **)field = xstrdup(node->string);
		return true;
	case SETTING_STRINGS:
		return read_strings(node, field, at);
	case SETTING_INTEGER:
		return read_integer(node, s, field, at);
	case SETTING_DECIMAL:
		return read_decimal(node, s, field, at);
	case SETTING_BOOLEAN:
		if (node->type != TOML_BOOLEAN)
			return fail(at, "must be true or false");
		*(bool *)field = node->boolean;
		return true;
	case SETTING_CHOICE:
		return read_choice(node, s, field, at);
	case SETTING_TABLE:
		return true;
	}
	abort();
}

/* Reads an integer within the setting's bounds. */
static bool read_integer(const struct toml_node *node, const struct setting *s,
			 int64_t *out, const struct location *at)
{
	bool bounded = s->min != 0 || s->max != 0;

	if (node->type != TOML_INTEGER)
		return fail(at, "must be a whole number");
	if (bounded &&
	    ((double)node->integer < s->min || (double)node->integer > s->max))
		return fail(at, "is %lld, but must be from %.0f to %.0f",
			    (long long)node->integer, s->min, s->max);
	*out = node->integer;
	return true;
}

/* Reads a number within the setting's bounds. */
static bool read_decimal(const struct toml_node *node, const struct setting *s,
			 double *out, const struct location *at)
{
	bool bounded = s->min != 0 || s->max != 0;
	double value;

	if (node->type == TOML_INTEGER)
		value = (double)node->integer;
	else if (node->type == TOML_FLOAT)
		value = node->floating;
	else
		return fail(at, "must be a number");
	if (bounded && !(value >= s->min && value <= s->max))
		return fail(at, "is %g, but must be from %g to %g", value,
			    s->min, s->max);
	*out = value;
	return true;
}

/* Reads one of the setting's choices and stores its index. */
static bool read_choice(const struct toml_node *node, const struct setting *s,
			int *out, const struct location *at)
{
	char allowed[200] = "";
	int i;

	for (i = 0; s->choices[i]; i++) {
		if (node->type == TOML_STRING &&
		    !strcmp(s->choices[i], node->string)) {
			*out = i;
			return true;
		}
		strlcat(allowed, i ? ", \"" : "\"", sizeof(allowed));
		strlcat(allowed, s->choices[i], sizeof(allowed));
		strlcat(allowed, "\"", sizeof(allowed));
	}
	return fail(at, "must be one of %s", allowed);
}

/* Reads an array of strings. */
static bool read_strings(const struct toml_node *node, struct string_list *out,
			 const struct location *at)
{
	size_t i;

	if (node->type != TOML_ARRAY)
		return fail(at, "must be an array of strings");
	for (i = 0; i < node->n_children; i++)
		if (node->children[i].type != TOML_STRING ||
		    !*node->children[i].string)
			return fail(at, "must be an array of strings, none of "
					"them empty");
	out->items = xcalloc(node->n_children, sizeof(*out->items));
	for (i = 0; i < node->n_children; i++)
		out->items[i] = xstrdup(node->children[i].string);
	out->n = node->n_children;
	return true;
}

/* Returns the Levenshtein distance of two words, or WORD_MAX if one of them is
 * longer than WORD_MAX bytes. */
static unsigned edit_distance(const char *a, const char *b)
{
	unsigned row[WORD_MAX + 1];
	size_t la = strlen(a);
	size_t lb = strlen(b);
	size_t i;
	size_t j;

	if (la > WORD_MAX || lb > WORD_MAX)
		return WORD_MAX;
	for (j = 0; j <= lb; j++)
		row[j] = (unsigned)j;
	for (i = 1; i <= la; i++) {
		unsigned diagonal = row[0];

		row[0] = (unsigned)i;
		for (j = 1; j <= lb; j++) {
			unsigned substitute = diagonal + (a[i - 1] != b[j - 1]);
			unsigned insert = row[j - 1] + 1;
			unsigned remove = row[j] + 1;

			diagonal = row[j];
			row[j] = substitute < insert ? substitute : insert;
			if (remove < row[j])
				row[j] = remove;
		}
	}
	return row[lb];
}
