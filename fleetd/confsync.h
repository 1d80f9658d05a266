#ifndef FLEETD_CONFSYNC_H
#define FLEETD_CONFSYNC_H

#include <jansson.h>

#include "fleetd/fleetd.h"
#include "proto/control.pb-c.h"

#define CONFIG_HEAD_KEY "config/head"
#define CONFIG_AUTHOR_MAX 128
#define CONFIG_DIGEST_SIZE 65 /* SHA-256 in hexadecimal digits */

/* The value of the head row and of each version's own row. */
struct config_head {
	uint64_t version; /* 0: none accepted yet */
	char author[CONFIG_AUTHOR_MAX];
	char digest[CONFIG_DIGEST_SIZE];
	char object[CONFIG_DIGEST_SIZE + 16];
};

struct confsync *confsync_new(struct fleetd *f);
void confsync_free(struct confsync *s);
void confsync_tick(struct fleetd *f, uint64_t now);
void confsync_peer_version(struct fleetd *f, uint64_t peer, uint64_t version);
void confsync_peer_body(struct fleetd *f, uint64_t peer,
			const Cdm__ConfigBody *m);
void confsync_accepted(struct fleetd *f, struct config *config,
		       const char *author);
const char *confsync_author(const struct fleetd *f);
const char *confsync_freshness(const struct fleetd *f);

bool config_head_parse(const char *text, size_t len, struct config_head *out);
char *config_head_format(const struct config_head *head);
char *config_version_key(uint64_t version);
void config_digest(const void *text, size_t len,
		   char digest[CONFIG_DIGEST_SIZE]);
uint64_t config_digest_number(const char *digest);

#endif /* FLEETD_CONFSYNC_H */
