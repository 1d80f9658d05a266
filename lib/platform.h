#ifndef LIB_PLATFORM_H
#define LIB_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "lib/httpc.h"

enum platform_outcome {
	PLATFORM_OK,
	PLATFORM_CONFLICT, /* a condition did not hold; nothing was written */
	PLATFORM_NOT_FOUND,
	PLATFORM_UNAVAILABLE, /* refused or unreachable; nothing was written */
	PLATFORM_UNKNOWN, /* the response was lost; a write may have happened */
	PLATFORM_REJECTED, /* the platform rejects the request as malformed */
};

/* One row of the table; value and nonce are NUL-terminated strings. */
struct platform_row {
	const char *key;
	const char *value;
	size_t value_len;
	const char *nonce; /* of the writer, 32 hexadecimal digits */
	uint64_t version; /* 0: the row does not exist */
};

/* One conditional write; the row must be at if_version (0: must not exist). */
struct platform_write {
	const char *key;
	const char *value; /* NULL deletes the row */
	uint64_t if_version;
};

/* One entry of the platform's instance list. */
struct platform_instance {
	const char *name;
	const char *zone;
	const char *kind; /* "entry" or "endpoint" */
	const char
		*address; /* control address of an entry, or of an endpoint */
	bool leaving;
};

struct platform;

/* The operations of a platform client.  All are asynchronous; done is called
 * once with the outcome, unless the client is freed before. */
struct platform_ops {
	void (*read)(struct platform *p, const char *key,
		     void (*done)(void *arg, enum platform_outcome outcome,
				  const struct platform_row *row),
		     void *arg);
	void (*scan)(struct platform *p, const char *prefix,
		     void (*done)(void *arg, enum platform_outcome outcome,
				  const struct platform_row *rows, size_t n),
		     void *arg);
	/* atomic; on PLATFORM_OK version is the new version of writes[0], on
	 * PLATFORM_CONFLICT row is the first row whose condition failed */
	void (*write)(struct platform *p, const char *nonce,
		      const struct platform_write *writes, size_t n,
		      void (*done)(void *arg, enum platform_outcome outcome,
				   uint64_t version,
				   const struct platform_row *row),
		      void *arg);
	void (*object_put)(struct platform *p, const char *name,
			   const void *data, size_t len,
			   void (*done)(void *arg,
					enum platform_outcome outcome),
			   void *arg);
	void (*object_get)(struct platform *p, const char *name,
			   void (*done)(void *arg,
					enum platform_outcome outcome,
					const char *data, size_t len),
			   void *arg);
	void (*instances)(struct platform *p,
			  void (*done)(void *arg, enum platform_outcome outcome,
				       const struct platform_instance *list,
				       size_t n),
			  void *arg);
	size_t (*pending)(const struct platform *p); /* calls in progress */
	void (*free)(struct platform *p);
};

struct platform {
	const struct platform_ops *ops;
};

#define PLATFORM_NONCE_SIZE 33 /* bytes with the terminating NUL */
void platform_nonce(char nonce[PLATFORM_NONCE_SIZE]);
const char *platform_outcome_name(enum platform_outcome outcome);

/* HTTP client of the platform; timeout_ms is the idle timeout of each call. */
struct platform *platform_http_new(struct httpc *c, const char *address,
				   uint32_t timeout_ms);

#endif /* LIB_PLATFORM_H */
