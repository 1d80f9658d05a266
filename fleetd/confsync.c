/*
 * Keeps the configuration in force up to date.  policy/config_adopt.c decides
 * when to poll the table and where to fetch a file, and accepts only versions
 * later than the one in force.
 */
#include "fleetd/confsync.h"

#include <bsd/string.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleetd/peers.h"
#include "fleetd/roster.h"
#include "lib/counters.h"
#include "lib/deflate.h"
#include "lib/log.h"
#include "lib/xalloc.h"
#include "policy/config_adopt.h"

/* State of the synchronization. */
struct confsync {
	struct config_adopt adopt;
	struct config_head fetching; /* row of the file being fetched */
	char author[CONFIG_AUTHOR_MAX]; /* of the version in force */
	uint8_t *packed; /* the file in force, compressed on first use */
	size_t packed_len;
};

static struct counter config_version = {
	.name = "cdmfleetd_config_version",
	.help = "Version of the configuration in force.",
	.kind = COUNTER_GAUGE,
};
static struct counter config_adoptions = {
	.name = "cdmfleetd_config_adoptions",
	.help = "Configurations put in force.",
};
static struct counter config_polls = {
	.name = "cdmfleetd_config_polls",
	.help = "Reads of the head row.",
};
static struct counter config_poll_failures = {
	.name = "cdmfleetd_config_poll_failures",
	.help = "Reads of the head row that failed.",
};

static void poll_head(struct fleetd *f);
static void on_head(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row);
static void fetch_from_peer(struct fleetd *f);
static void fetch_from_table(struct fleetd *f);
static void on_version_row(void *arg, enum platform_outcome outcome,
			   const struct platform_row *row);
static void on_object(void *arg, enum platform_outcome outcome,
		      const char *data, size_t len);
static void adopt_peer_body(struct fleetd *f, const Cdm__ConfigBody *m);
static void adopt_body(struct fleetd *f, enum config_source source,
		       uint64_t version, const char *author, const char *data,
		       size_t len);
static void send_body(struct fleetd *f, uint64_t peer);

/* Returns the initial state, without a configuration, and registers the
 * counters. */
struct confsync *confsync_new(struct fleetd *f)
{
	struct confsync *s = xcalloc(1, sizeof(*s));

	config_adopt_init(&s->adopt, fleetd_now(f));
	counter_register(&config_version);
	counter_register(&config_adoptions);
	counter_register(&config_polls);
	counter_register(&config_poll_failures);
	return s;
}

void confsync_free(struct confsync *s)
{
	free(s->packed);
	free(s);
}

/* Polls the table or fetches a file if the policy says so. */
void confsync_tick(struct fleetd *f, uint64_t now)
{
	switch (config_adopt_step(&f->confsync->adopt, now)) {
	case CONFIG_POLL:
		poll_head(f);
		break;
	case CONFIG_FETCH_PEER:
		fetch_from_peer(f);
		break;
	case CONFIG_FETCH_TABLE:
		fetch_from_table(f);
		break;
	case CONFIG_NO_ACTION:
		break;
	}
}

/* Records the version that another instance reports as in force there. */
void confsync_peer_version(struct fleetd *f, uint64_t peer, uint64_t version)
{
	config_adopt_peer_version(&f->confsync->adopt, version, peer,
				  fleetd_now(f));
}

/* Handles a peer's message: a file, or a request for one. */
void confsync_peer_body(struct fleetd *f, uint64_t peer,
			const Cdm__ConfigBody *m)
{
	if (m->has_config)
		adopt_peer_body(f, m);
	else if (f->config && f->config->version >= m->version)
		send_body(f, peer);
}

/* Decompresses and adopts a file that another instance sent. */
static void adopt_peer_body(struct fleetd *f, const Cdm__ConfigBody *m)
{
	char *text = inflate_bytes(m->config.data, m->config.len, m->plain_len);

	if (!text) {
		log_msg(LOG_WARNING, "config-malformed", NULL,
			"malformed file of configuration version %" PRIu64
			" received from another instance",
			m->version);
		return;
	}
	adopt_body(f, CONFIG_FROM_PEER, m->version, m->author ? m->author : "",
		   text, m->plain_len);
	free(text);
}

/* Puts a file in force that this instance has just committed.  Takes over the
 * reference. */
void confsync_accepted(struct fleetd *f, struct config *config,
		       const char *author)
{
	char *text = xstrndup(config->text, config->text_len);
	size_t len = config->text_len;
	uint64_t version = config->version;

	config_unref(config);
	adopt_body(f, CONFIG_FROM_TABLE, version, author, text, len);
	free(text);
}

/* Returns the operator who committed the version in force. */
const char *confsync_author(const struct fleetd *f)
{
	return f->confsync->author;
}

/* Returns the freshness of the configuration in force as text. */
const char *confsync_freshness(const struct fleetd *f)
{
	switch (config_adopt_freshness(&f->confsync->adopt, fleetd_now(f))) {
	case CONFIG_NONE:
		return "none";
	case CONFIG_CURRENT:
		return "current";
	case CONFIG_BEHIND:
		return "behind";
	case CONFIG_PEERS_ONLY:
		return "peers-only";
	case CONFIG_STALE:
		return "stale";
	}
	abort();
}

/* Starts to read the head row. */
static void poll_head(struct fleetd *f)
{
	counter_add(&config_polls, 1);
	f->platform->ops->read(f->platform, CONFIG_HEAD_KEY, on_head, f);
}

/* Passes the head row's version, or the failure, to the policy.  A missing row
 * means that no version has been accepted yet. */
static void on_head(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row)
{
	struct fleetd *f = arg;
	struct config_head head = { 0 };
	bool ok = outcome == PLATFORM_NOT_FOUND;

	if (outcome == PLATFORM_OK) {
		ok = config_head_parse(row->value, row->value_len, &head);
		if (!ok)
			log_msg(LOG_ERR, "config-head", NULL,
				"row %s is malformed", CONFIG_HEAD_KEY);
	}
	if (!ok)
		counter_add(&config_poll_failures, 1);
	config_adopt_polled(&f->confsync->adopt, ok, head.version,
			    fleetd_now(f), fleetd_random());
}

/* Requests the latest known version from an instance that reported it. */
static void fetch_from_peer(struct fleetd *f)
{
	const struct config_adopt *a = &f->confsync->adopt;
	const struct roster_entry *e = roster_find(f->roster, a->peer);
	Cdm__ConfigBody m = CDM__CONFIG_BODY__INIT;

	if (!e) {
		config_adopt_fetch_failed(&f->confsync->adopt, fleetd_now(f));
		return;
	}
	m.version = a->latest_known;
	peers_send(f, e->id, e->control_address, CDM__FRAME_TYPE__FRAME_CONFIG,
		   &m.base);
}

/* Starts to read the version's row, then the file that it names. */
static void fetch_from_table(struct fleetd *f)
{
	char *key = config_version_key(f->confsync->adopt.latest_known);

	f->platform->ops->read(f->platform, key, on_version_row, f);
	free(key);
}

/* Starts to read the file that the version's row names. */
static void on_version_row(void *arg, enum platform_outcome outcome,
			   const struct platform_row *row)
{
	struct fleetd *f = arg;
	struct confsync *s = f->confsync;

	if (outcome != PLATFORM_OK ||
	    !config_head_parse(row->value, row->value_len, &s->fetching)) {
		config_adopt_fetch_failed(&s->adopt, fleetd_now(f));
		return;
	}
	f->platform->ops->object_get(f->platform, s->fetching.object, on_object,
				     f);
}

/* Adopts the file if its digest matches the row. */
static void on_object(void *arg, enum platform_outcome outcome,
		      const char *data, size_t len)
{
	struct fleetd *f = arg;
	struct confsync *s = f->confsync;
	char digest[CONFIG_DIGEST_SIZE];

	if (outcome == PLATFORM_OK)
		config_digest(data, len, digest);
	if (outcome != PLATFORM_OK || strcmp(digest, s->fetching.digest) != 0) {
		config_adopt_fetch_failed(&s->adopt, fleetd_now(f));
		return;
	}
	adopt_body(f, CONFIG_FROM_TABLE, s->fetching.version,
		   s->fetching.author, data, len);
}

/* Puts a file in force if it is valid and later than the one in force. */
static void adopt_body(struct fleetd *f, enum config_source source,
		       uint64_t version, const char *author, const char *data,
		       size_t len)
{
	struct confsync *s = f->confsync;
	char digest[CONFIG_DIGEST_SIZE];
	struct config *c;
	char err[512];

	config_digest(data, len, digest);
	c = config_parse(data, len, "config", version, err, sizeof(err));
	switch (config_adopt_body(&s->adopt, source, version,
				  config_digest_number(digest), c != NULL,
				  fleetd_now(f))) {
	case CONFIG_ADOPTED:
		strlcpy(s->author, author, sizeof(s->author));
		free(s->packed);
		s->packed = NULL;
		counter_set(&config_version, (double)version);
		counter_add(&config_adoptions, 1);
		log_msg(LOG_NOTICE, "config-in-force", NULL,
			"configuration version %" PRIu64 " by %s is in force",
			version, author);
		fleetd_adopt(f, c);
		return;
	case CONFIG_INVALID:
		log_msg(LOG_ERR, "config-invalid", NULL,
			"configuration version %" PRIu64
			" is invalid (%s); the one in force is kept",
			version, err);
		break;
	case CONFIG_DIFFERS:
		log_msg(LOG_ERR, "config-differs", NULL,
			"received a different file for configuration version "
			"%" PRIu64,
			version);
		break;
	case CONFIG_OLD:
		break;
	}
	config_unref(c);
}

/* Sends the file in force to a peer.  It is compressed, since that makes it
 * many times smaller and each instance sends it to several peers. */
static void send_body(struct fleetd *f, uint64_t peer)
{
	const struct roster_entry *e = roster_find(f->roster, peer);
	Cdm__ConfigBody m = CDM__CONFIG_BODY__INIT;
	struct confsync *s = f->confsync;

	if (!e)
		return;
	if (!s->packed)
		s->packed = deflate_bytes(f->config->text, f->config->text_len,
					  &s->packed_len);
	m.version = f->config->version;
	m.has_config = 1;
	m.config.data = s->packed;
	m.config.len = s->packed_len;
	m.has_plain_len = 1;
	m.plain_len = (uint32_t)f->config->text_len;
	m.author = s->author;
	peers_send(f, e->id, e->control_address, CDM__FRAME_TYPE__FRAME_CONFIG,
		   &m.base);
}
