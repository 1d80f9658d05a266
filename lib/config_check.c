/*
 * Consistency checks across the tables of the operators' file: names are unique
 * and references resolve.
 */
#include "lib/config_check.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

/* The file being checked and the buffer for the error message. */
struct check {
	const struct config *c;
	const struct toml_node *root;
	const char *file;
	char *err;
	size_t err_size;
};

/* One string field of all elements of a section. */
struct column {
	const char *section;
	const char *key;
	const void *items;
	size_t stride;
	size_t offset;
	size_t n;
};

/* A value of a column and the index of its element. */
struct value {
	const char *text;
	size_t index;
};

static bool fail(const struct check *k, const char *section, size_t index,
		 const char *key, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
static const char *column_at(const struct column *col, size_t i);
static bool check_reference(const struct check *k, const struct column *names,
			    const char *section, size_t index, const char *key,
			    const char *name);
static int compare_values(const void *a, const void *b);
static bool check_unique(const struct check *k, const struct column *col);
static struct column service_names(const struct config *c);
static struct column organisation_names(const struct config *c);
static bool check_uniqueness(const struct check *k);
static bool check_organisation(const struct check *k, size_t i);
static bool check_model_service(const struct check *k, size_t i);
static bool check_plain_service(const struct check *k, size_t i);
static bool check_service(const struct check *k, size_t i);
static bool check_objective(const struct check *k, size_t i);
static bool is_well_formed_call(const char *call);

#define COLUMN(c, name, field)                                          \
	(struct column)                                                 \
	{                                                               \
		.section = #name, .key = #field, .items = (c)->name##s, \
		.stride = sizeof(struct config_##name),                 \
		.offset = offsetof(struct config_##name, field),        \
		.n = (c)->n_##name##s,                                  \
	}

/* Checks the constraints between tables.  Returns false with a message that
 * names file, line and key in err. */
bool config_check(const struct config *c, const struct toml_node *root,
		  const char *file, char *err, size_t err_size)
{
	struct check k = { .c = c,
			   .root = root,
			   .file = file,
			   .err = err,
			   .err_size = err_size };
	struct column services = service_names(c);
	size_t i;

	if (!check_uniqueness(&k))
		return false;
	for (i = 0; i < c->n_organisations; i++)
		if (!check_organisation(&k, i))
			return false;
	for (i = 0; i < c->n_services; i++)
		if (!check_service(&k, i))
			return false;
	for (i = 0; i < c->n_endpoints; i++)
		if (!check_reference(&k, &services, "endpoint", i, "service",
				     c->endpoints[i].service))
			return false;
	for (i = 0; i < c->n_objectives; i++)
		if (!check_objective(&k, i))
			return false;
	return true;
}

/* Formats a message with the file, the key and its line, or the line of the
 * table if the key is absent.  Returns false. */
static bool fail(const struct check *k, const char *section, size_t index,
		 const char *key, const char *fmt, ...)
{
	const struct toml_node *array = toml_get(k->root, section);
	const struct toml_node *table = &array->children[index];
	const struct toml_node *node = toml_get(table, key);
	char message[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	snprintf(k->err, k->err_size, "%s:%d: %s: %s", k->file,
		 node ? node->line : table->line, key, message);
	return false;
}

/* Returns the column's value in element i; it may be NULL. */
static const char *column_at(const struct column *col, size_t i)
{
	const char *item = (const char *)col->items + i * col->stride;

	return *(char *const *)(item + col->offset);
}

/* Checks that name is one of names; the error message suggests the nearest. */
static bool check_reference(const struct check *k, const struct column *names,
			    const char *section, size_t index, const char *key,
			    const char *name)
{
	const char **candidates;
	const char *nearest;
	size_t i;

	for (i = 0; i < names->n; i++)
		if (!strcmp(column_at(names, i), name))
			return true;
	candidates = xcalloc(names->n, sizeof(char *));
	for (i = 0; i < names->n; i++)
		candidates[i] = column_at(names, i);
	nearest = settings_nearest(name, candidates, names->n);
	if (nearest)
		fail(k, section, index, key,
		     "no %s is called %s, did you mean %s?", names->section,
		     name, nearest);
	else
		fail(k, section, index, key, "no %s is called %s",
		     names->section, name);
	free(candidates);
	return false;
}

/* Orders by value, and equal values by their order in the file. */
static int compare_values(const void *a, const void *b)
{
	const struct value *x = a;
	const struct value *y = b;
	int order = strcmp(x->text, y->text);

	if (order)
		return order;
	return x->index < y->index ? -1 : 1;
}

/* Checks that no two elements have the same value in the column.  Reports the
 * first duplicate in file order. */
static bool check_unique(const struct check *k, const struct column *col)
{
	struct value *values = xcalloc(col->n, sizeof(*values));
	size_t first = col->n;
	size_t n = 0;
	size_t i;

	for (i = 0; i < col->n; i++) {
		values[n].text = column_at(col, i);
		values[n].index = i;
		n += values[n].text != NULL;
	}
	qsort(values, n, sizeof(*values), compare_values);
	for (i = 1; i < n; i++)
		if (!strcmp(values[i].text, values[i - 1].text) &&
		    values[i].index < first)
			first = values[i].index;
	free(values);
	if (first == col->n)
		return true;
	return fail(k, col->section, first, col->key,
		    "%s is taken by an earlier %s",
		    strcmp(col->key, "key") != 0 ? column_at(col, first) : "it",
		    col->section);
}

/* Returns the column of service names. */
static struct column service_names(const struct config *c)
{
	return COLUMN(c, service, name);
}

/* Returns the column of organisation names. */
static struct column organisation_names(const struct config *c)
{
	return COLUMN(c, organisation, name);
}

/* Checks that names, tokens, addresses and served models are unique. */
static bool check_uniqueness(const struct check *k)
{
	const struct column columns[] = {
		COLUMN(k->c, model, name),
		COLUMN(k->c, organisation, name),
		COLUMN(k->c, organisation, key),
		COLUMN(k->c, service, name),
		COLUMN(k->c, service, model),
		COLUMN(k->c, endpoint, name),
		COLUMN(k->c, endpoint, address),
		COLUMN(k->c, objective, name),
	};
	size_t i;

	for (i = 0; i < sizeof(columns) / sizeof(columns[0]); i++)
		if (!check_unique(k, &columns[i]))
			return false;
	return true;
}

/* Checks that the services of an organisation exist. */
static bool check_organisation(const struct check *k, size_t i)
{
	const struct string_list *list = &k->c->organisations[i].services;
	struct column services = service_names(k->c);
	size_t j;

	for (j = 0; j < list->n; j++)
		if (!check_reference(k, &services, "organisation", i,
				     "services", list->items[j]))
			return false;
	return true;
}

/* Checks that a model service names an existing model.  Its calls are
 * never repeated as a whole, so it has no list of idempotent calls. */
static bool check_model_service(const struct check *k, size_t i)
{
	const struct config_service *s = &k->c->services[i];
	struct column models = COLUMN(k->c, model, name);

	if (!s->model)
		return fail(k, "service", i, "model",
			    "missing, but required for kind \"model\"");
	if (s->idempotent.n)
		return fail(k, "service", i, "idempotent",
			    "is only for kind \"plain\"");
	return check_reference(k, &models, "service", i, "model", s->model);
}

/* Returns whether call has the form "METHOD /path". */
static bool is_well_formed_call(const char *call)
{
	const char *p = call;

	while (isupper((unsigned char)*p))
		p++;
	return p > call && p[0] == ' ' && p[1] == '/';
}

/* Checks that a plain service has neither model nor resume and that its
 * idempotent calls are well formed. */
static bool check_plain_service(const struct check *k, size_t i)
{
	const struct config_service *s = &k->c->services[i];
	const struct toml_node *array = toml_get(k->root, "service");
	size_t j;

	if (s->model)
		return fail(k, "service", i, "model",
			    "is only for kind \"model\"");
	if (toml_get(&array->children[i], "resume"))
		return fail(k, "service", i, "resume",
			    "is only for kind \"model\"");
	for (j = 0; j < s->idempotent.n; j++)
		if (!is_well_formed_call(s->idempotent.items[j]))
			return fail(k, "service", i, "idempotent",
				    "must be written \"METHOD /path\"");
	return true;
}

/* Checks a service according to its kind. */
static bool check_service(const struct check *k, size_t i)
{
	if (k->c->services[i].kind == SERVICE_MODEL)
		return check_model_service(k, i);
	return check_plain_service(k, i);
}

/* Checks that an objective's service and organisation exist and that it has the
 * threshold that its measure requires. */
static bool check_objective(const struct check *k, size_t i)
{
	const struct config_objective *o = &k->c->objectives[i];
	struct column services = service_names(k->c);
	struct column organisations = organisation_names(k->c);

	if (o->service && !check_reference(k, &services, "objective", i,
					   "service", o->service))
		return false;
	if (o->organisation &&
	    !check_reference(k, &organisations, "objective", i, "organisation",
			     o->organisation))
		return false;
	if (o->measure != OBJECTIVE_REFUSALS && o->threshold <= 0)
		return fail(k, "objective", i, "threshold",
			    "must be above 0 for this measure");
	return true;
}
