/*
 * Keeps the configuration in force up to date.  policy/config_adopt.c decides
 * when to poll the table, whom to ask for a file, and adopts only upwards.
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

struct confsync {
	struct config_adopt adopt;
	struct config_head fetching; /* of the file being fetched */
	char author[CONFIG_AUTHOR_MAX]; /* of the version in force */
	uint8_t *packed; /* the file in force, compressed; NULL: not yet */
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
static void take_peer_body(struct fleetd *f, const Cdm__ConfigBody *m);
static void take_body(struct fleetd *f, enum config_source source,
		      uint64_t version, const char *author, const char *data,
		      size_t len);
static void send_body(struct fleetd *f, uint64_t peer);

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

/* Does what is due. */
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

/* Another instance has the version in force. */
void confsync_heard(struct fleetd *f, uint64_t peer, uint64_t version)
{
	config_adopt_peer_version(&f->confsync->adopt, version, peer,
				  fleetd_now(f));
}

/* Another instance asks for a file or sends one. */
void confsync_peer_body(struct fleetd *f, uint64_t peer,
			const Cdm__ConfigBody *m)
{
	if (m->has_config)
		take_peer_body(f, m);
	else if (f->config && f->config->version >= m->version)
		send_body(f, peer);
}

/* Takes a file that another instance sent, compressed. */
static void take_peer_body(struct fleetd *f, const Cdm__ConfigBody *m)
{
	char *text = inflate_bytes(m->config.data, m->config.len, m->plain_len);

	if (!text) {
		log_msg(LOG_WARNING, "config-malformed", NULL,
			"another instance sent configuration version %" PRIu64
			" malformed",
			m->version);
		return;
	}
	take_body(f, CONFIG_FROM_PEER, m->version, m->author ? m->author : "",
		  text, m->plain_len);
	free(text);
}

/* This instance has had the file accepted: it is in force here at once.  Takes
 * over the reference. */
void confsync_accepted(struct fleetd *f, struct config *config,
		       const char *author)
{
	char *text = xstrndup(config->text, config->text_len);
	size_t len = config->text_len;
	uint64_t version = config->version;

	config_unref(config);
	take_body(f, CONFIG_FROM_TABLE, version, author, text, len);
	free(text);
}

/* Returns who had the version in force accepted. */
const char *confsync_author(const struct fleetd *f)
{
	return f->confsync->author;
}

/* Returns a word for how current the configuration in force is. */
const char *confsync_standing(const struct fleetd *f)
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

/* Reads the head row. */
static void poll_head(struct fleetd *f)
{
	counter_add(&config_polls, 1);
	f->platform->ops->read(f->platform, CONFIG_HEAD_KEY, on_head, f);
}

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

/* Asks the instance that is known to have the version. */
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

/* Reads the version's row, then the file that it names. */
static void fetch_from_table(struct fleetd *f)
{
	char *key = config_version_key(f->confsync->adopt.latest_known);

	f->platform->ops->read(f->platform, key, on_version_row, f);
	free(key);
}

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
	take_body(f, CONFIG_FROM_TABLE, s->fetching.version, s->fetching.author,
		  data, len);
}

/* Puts a file in force if it is later than the one in force and checks. */
static void take_body(struct fleetd *f, enum config_source source,
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
			" does not check (%s); the one in force stays",
			version, err);
		break;
	case CONFIG_DIFFERS:
		log_msg(LOG_ERR, "config-differs", NULL,
			"another file came as configuration version %" PRIu64,
			version);
		break;
	case CONFIG_OLD:
		break;
	}
	config_unref(c);
}

/* Sends the file in force, compressed: it is many times smaller so, and each
 * instance sends it to a few. */
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
