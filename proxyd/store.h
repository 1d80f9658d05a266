#ifndef PROXYD_STORE_H
#define PROXYD_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "proxyd/routes.h"

enum store_table {
	STORE_CONFIGURATION,
	STORE_ENDPOINTS, /* written by the endpoints */
	STORE_INSTANCES, /* written by this system */
	STORE_TABLES,
};

enum store_outcome {
	STORE_OK,
	STORE_HISTORY_LOST, /* changes were missed: read the table again */
	STORE_REFUSED, /* it answers, but does not serve us now */
	STORE_UNREACHABLE,
	STORE_MALFORMED, /* the answer cannot be read */
};

struct endpoint_entry {
	const char *service;
	const char *address;
	const char *zone;
	bool leaving;
	uint64_t born_ms; /* Unix time of its start; 0: not said */
	uint32_t slots;
};

struct instance_entry {
	const char *callers; /* address */
	const char *peers; /* address */
	const char *control; /* address */
	const char *zone;
};

/* A content of requests that is refused. */
struct refusal_entry {
	uint64_t content; /* its hash */
	uint64_t until_ms; /* Unix time */
	uint64_t since_ms; /* the first run that it is refused for; the same */
};

/* One row.  Which member is set follows from the table; none is set in a row
 * that was removed or cannot be read. */
struct store_row {
	const char *key;
	bool removed;
	struct routes *routes; /* one reference, for the callback's time */
	const struct endpoint_entry *endpoint;
	const struct instance_entry *instance;
	const struct refusal_entry *refusal; /* among the instances' rows */
	char problem[160]; /* why it cannot be read */
	uint64_t version; /* of this row */
	const char *raw; /* the value as the store has it */
	size_t raw_len;
};

/* Changes of a table that another instance has read. */
struct store_change {
	uint64_t after; /* version before them */
	uint64_t version; /* version with them */
	uint32_t back_ms; /* since the store came back, 0: it was not away */
	struct store_row *rows; /* only key, removed, raw and raw_len are set */
	size_t n;
};

/* Keys of refusals begin so; no instance has such a name. */
#define STORE_REFUSAL_PREFIX "refused/"

struct store;

/* Each call ends by one call of done, from the loop. */
struct store_ops {
	/* all rows of a table, and the version that they are of */
	void (*list)(struct store *s, enum store_table table,
		     void (*done)(void *arg, enum store_outcome outcome,
				  const struct store_row *rows, size_t n,
				  uint64_t version),
		     void *arg);
	/* rows that changed after a version, as soon as there are any */
	void (*follow)(struct store *s, enum store_table table, uint64_t after,
		       uint32_t wait_ms,
		       void (*done)(void *arg, enum store_outcome outcome,
				    const struct store_row *rows, size_t n,
				    uint64_t version),
		       void *arg);
	/* decodes the raw values of rows and hands them to done at once */
	void (*decode)(enum store_table table,
		       const struct store_change *change,
		       void (*done)(void *arg, const struct store_row *rows,
				    size_t n),
		       void *arg);
	void (*put_instance)(struct store *s, const char *key,
			     const struct instance_entry *entry,
			     void (*done)(void *arg,
					  enum store_outcome outcome),
			     void *arg);
	void (*put_refusal)(struct store *s, const char *key,
			    const struct refusal_entry *entry,
			    void (*done)(void *arg, enum store_outcome outcome),
			    void *arg);
	/* removes an entry of this system's */
	void (*remove_entry)(struct store *s, const char *key,
			     void (*done)(void *arg,
					  enum store_outcome outcome),
			     void *arg);
	void (*tick)(struct store *s); /* ends calls whose time is up */
};

struct store {
	const struct store_ops *ops;
};

/* Tells whether a row among the instances' is that of a refusal. */
static inline bool store_is_refusal(const char *key)
{
	return !strncmp(key, STORE_REFUSAL_PREFIX,
			sizeof(STORE_REFUSAL_PREFIX) - 1);
}

const char *store_outcome_name(enum store_outcome outcome);
const char *store_table_name(enum store_table table);

#endif /* PROXYD_STORE_H */
