/*
 * The settings of a stand-in.  One table defines both the long options and the
 * keys of POST /control.
 */
#include "emulator/standin_settings.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

static int choice_index(const struct standin_setting *d, const json_t *value);

/* Allocates the table of options: the addresses, then the settings. */
struct argp_option *standin_make_options(const struct standin *s)
{
	static const struct argp_option fixed[] = {
		{ "listen", 'l', "ADDRESS", 0, "Serve at a.b.c.d:port", 0 },
		{ "control", 'c', "ADDRESS", 0,
		  "Take control requests also at a.b.c.d:port", 0 },
	};
	size_t n = 0;
	size_t used = sizeof(fixed) / sizeof(fixed[0]);
	struct argp_option *options;
	size_t i;

	while (s->settings[n].name)
		n++;
	options = xcalloc(n + used + 1, sizeof(*options));
	memcpy(options, fixed, sizeof(fixed));
	for (i = 0; i < n; i++) {
		char *name;
		char *p;

		if (s->settings[i].type == STANDIN_ACTION)
			continue;
		name = xstrdup(s->settings[i].name);
		for (p = name; *p; p++)
			if (*p == '_')
				*p = '-';
		options[used++] = (struct argp_option){
			.name = name,
			.key = FIRST_SETTING_KEY + (int)i,
			.arg = "VALUE",
			.doc = s->settings[i].help,
		};
	}
	return options;
}

/* Frees the table and the names of the settings, which are copies. */
void standin_free_options(struct argp_option *options)
{
	size_t i;

	for (i = 0; options[i].key; i++)
		if (options[i].key >= FIRST_SETTING_KEY)
			free((char *)options[i].name);
	free(options);
}

/* Converts an option's argument to a JSON value; NULL if it is malformed. */
json_t *standin_parse_argument(const struct standin_setting *d, const char *arg)
{
	if (d->type == STANDIN_STRING || d->type == STANDIN_CHOICE)
		return json_string(arg);
	return json_loads(arg, JSON_DECODE_ANY, NULL);
}

/* Returns the setting with a name, or NULL. */
const struct standin_setting *standin_find(const struct standin *s,
					   const char *name)
{
	const struct standin_setting *d;

	for (d = s->settings; d->name; d++)
		if (strcmp(d->name, name) == 0)
			return d;
	return NULL;
}

/* Returns whether a value has the type and range of a setting. */
bool standin_value_valid(const struct standin_setting *d, const json_t *value)
{
	double number = json_number_value(value);

	switch (d->type) {
	case STANDIN_INTEGER:
		return json_is_integer(value) && number >= d->min &&
		       number <= d->max;
	case STANDIN_DECIMAL:
		return json_is_number(value) && number >= d->min &&
		       number <= d->max;
	case STANDIN_BOOLEAN:
		return json_is_boolean(value);
	case STANDIN_STRING:
		return json_is_string(value);
	case STANDIN_CHOICE:
		return choice_index(d, value) >= 0;
	case STANDIN_ACTION:
		return true;
	}
	return false;
}

/* Returns the index of the choice named by a JSON string, or -1. */
static int choice_index(const struct standin_setting *d, const json_t *value)
{
	int i;

	for (i = 0; json_is_string(value) && d->choices[i]; i++)
		if (strcmp(d->choices[i], json_string_value(value)) == 0)
			return i;
	return -1;
}

/* Sets a valid value; only an action can still refuse it with a message. */
bool standin_set(const struct standin *s, const struct standin_setting *d,
		 const json_t *value, char *err, size_t err_size)
{
	void *field = (char *)s->target + d->offset;
	char **string = field;

	switch (d->type) {
	case STANDIN_INTEGER:
		*(int64_t *)field = json_integer_value(value);
		break;
	case STANDIN_DECIMAL:
		*(double *)field = json_number_value(value);
		break;
	case STANDIN_BOOLEAN:
		*(bool *)field = json_is_true(value);
		break;
	case STANDIN_STRING:
		free(*string);
		*string = xstrdup(json_string_value(value));
		break;
	case STANDIN_CHOICE:
		*(int *)field = choice_index(d, value);
		break;
	case STANDIN_ACTION:
		return d->act(s->target, value, err, err_size);
	}
	return true;
}

/* Returns a setting's value as JSON; NULL for an action. */
json_t *standin_get(const struct standin *s, const struct standin_setting *d)
{
	const void *field = (const char *)s->target + d->offset;
	const char *string;

	switch (d->type) {
	case STANDIN_INTEGER:
		return json_integer(*(const int64_t *)field);
	case STANDIN_DECIMAL:
		return json_real(*(const double *)field);
	case STANDIN_BOOLEAN:
		return json_boolean(*(const bool *)field);
	case STANDIN_STRING:
		string = *(const char *const *)field;
		return json_string(string ? string : "");
	case STANDIN_CHOICE:
		return json_string(d->choices[*(const int *)field]);
	case STANDIN_ACTION:
		break;
	}
	return NULL;
}
