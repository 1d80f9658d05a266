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
	STORE_TABLES, /* the number of tables that are followed */
	STORE_STREAMS = STORE_TABLES, /* written by this system, read at need */
};

enum store_outcome {
	STORE_OK,
	STORE_HISTORY_LOST, /* changes were missed: list the table again */
	STORE_REFUSED, /* it answers, but does not serve the call */
	STORE_UNREACHABLE,
	STORE_MALFORMED, /* the answer cannot be decoded */
	STORE_OLD_ERA, /* it answered before it returned from a copy */
	STORE_CHANGED, /* the row has another version than the call named */
	STORE_ENDED, /* end_reading() ended the call */
};

#define STORE_STREAM_KEY_SIZE 160
#define STORE_STREAM_ROWS_MAX 64 /* of one call */

struct endpoint_entry {
	const char *service;
	const char *address;
	const char *zone;
	bool leaving;
	uint64_t born_ms; /* Unix time of its start; 0: unknown */
	uint64_t sequence; /* rises with each of its writes; 0: unknown */
	uint32_t slots;
	const char *version; /* of its software; NULL: unknown */
};

struct instance_entry {
	const char *callers; /* address */
	const char *peers; /* address */
	const char *control; /* address */
	const char *zone;
	uint64_t born_ms; /* Unix time of its process's start; 0: unknown */
};

/* A refused request content. */
struct refusal_entry {
	uint64_t content; /* its hash */
	uint64_t until_ms; /* Unix time */
	uint64_t since_ms; /* start of its first run that counts, Unix time */
};

/* Streams begun at endpoints of one software version. */
struct origin_entry {
	uint64_t software;
	const uint64_t *streams; /* hashes of ids */
	size_t n;
};

/* A software version that endpoints of a service run. */
struct software_entry {
	uint64_t service; /* hash of its name */
	uint64_t software;
	uint64_t era; /* of the store when it was written */
};

/* A row of STORE_STREAMS to be written, or removed if neither entry is set. */
struct stream_row {
	char key[STORE_STREAM_KEY_SIZE];
	uint64_t version; /* that it has to have; 0: any, or none */
	const struct origin_entry *origins;
	const struct software_entry *software;
};

/* One row.  The table determines which of routes, endpoint, instance, refusal,
 * origins and software is set; none is set in a row that was removed or cannot be
 * decoded. */
struct store_row {
	const char *key;
	bool removed;
	struct routes *routes; /* referenced until the callback returns */
	const struct endpoint_entry *endpoint;
	const struct instance_entry *instance;
	const struct refusal_entry *refusal; /* in STORE_INSTANCES */
	const struct origin_entry *origins; /* in STORE_STREAMS */
	const struct software_entry *software; /* in STORE_STREAMS */
	char problem[160]; /* why it cannot be decoded */
	uint64_t version; /* of this row; 0: unknown */
	const char *raw; /* the value as stored */
	size_t raw_len;
};

/* Changes of a table as read by another instance. */
struct store_change {
	uint64_t after; /* version before the changes */
	uint64_t version; /* version after the changes */
	uint32_t since_recovery_ms; /* 0: no outage */
	/* only key, removed, version, raw and raw_len are set */
	struct store_row *rows;
	size_t n;
};

/* Key prefixes of the two kinds of rows in STORE_STREAMS. */
#define STORE_ORIGINS_PREFIX "began/"
#define STORE_SOFTWARE_PREFIX "version/"

/* Key prefix of refusals in STORE_INSTANCES; no instance name begins so. */
#define STORE_REFUSAL_PREFIX "refused/"

struct store;

/* Each asynchronous call ends with one call of done from the event loop. */
struct store_ops {
	/* lists all rows of a table, and their version */
	void (*list)(struct store *s, enum store_table table,
		     void (*done)(void *arg, enum store_outcome outcome,
				  const struct store_row *rows, size_t n,
				  uint64_t version),
		     void *arg);
	/* returns rows that changed after a version, as soon as there are any,
	 * for up to wait_ms */
	void (*follow)(struct store *s, enum store_table table, uint64_t after,
		       uint32_t wait_ms,
		       void (*done)(void *arg, enum store_outcome outcome,
				    const struct store_row *rows, size_t n,
				    uint64_t version),
		       void *arg);
	/* decodes the raw values of rows; calls done before it returns */
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
	/* writes and removes rows of STORE_STREAMS, all or none; none if one has
	 * another version than it has to have */
	void (*put_streams)(struct store *s, const struct stream_row *rows,
			    size_t n,
			    void (*done)(void *arg, enum store_outcome outcome),
			    void *arg);
	/* removes an instance's entry or a refusal, if it has a version; 0: in
	 * any case */
	void (*remove_entry)(struct store *s, const char *key, uint64_t version,
			     void (*done)(void *arg,
					  enum store_outcome outcome),
			     void *arg);
	/* ends the calls that read a table, with STORE_ENDED */
	void (*end_reading)(struct store *s, enum store_table table);
	void (*tick)(struct store *s); /* ends calls that timed out */
};

struct store {
	const struct store_ops *ops;
	uint64_t era; /* newest one known; 0: none */
	/* version of the transaction that was acknowledged last, set before its
	 * done is called; 0: unknown */
	uint64_t written;
};

/* Returns whether a key of STORE_STREAMS is that of a software version. */
static inline bool store_is_software(const char *key)
{
	return !strncmp(key, STORE_SOFTWARE_PREFIX,
			sizeof(STORE_SOFTWARE_PREFIX) - 1);
}

/* Returns whether a key of STORE_INSTANCES is that of a refusal. */
static inline bool store_is_refusal(const char *key)
{
	return !strncmp(key, STORE_REFUSAL_PREFIX,
			sizeof(STORE_REFUSAL_PREFIX) - 1);
}

const char *store_outcome_name(enum store_outcome outcome);
const char *store_table_name(enum store_table table);

#endif /* PROXYD_STORE_H */
