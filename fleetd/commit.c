/*
 * Commits of configuration files: a commit writes the operator's file to the
 * object store, then replaces the head row and inserts the version's own row
 * in one transaction.  If the answer to the transaction is lost, it reads the
 * version's row back to learn the outcome.
 */
#include "fleetd/commit.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counters.h"
#include "lib/xalloc.h"
#include "policy/config_adopt.h"

#define COMMIT_RETRY_DELAY_MS 300
#define COMMIT_TIMEOUT_MS 8000 /* until the operator gets an answer */
#define VERSION_ROWS_KEPT 32 /* lost answers are resolved far earlier */

struct commit {
	struct fleetd *f;
	struct commit *next;
	struct config *config;
	struct config_head head; /* value written to both rows */
	uint64_t head_row; /* version of the replaced head row */
	char nonce[PLATFORM_NONCE_SIZE];
	struct config_commit state;
	bool busy; /* a call to the platform is in progress */
	bool uncertain; /* a write without an answer may have succeeded */
	uint64_t next_step_ms;
	uint64_t deadline_ms;
	void (*done)(void *arg, const struct commit_result *result);
	void *arg;
};

struct commits {
	struct commit *first;
};

/* A pending removal of an old version's row. */
struct removal {
	struct fleetd *f;
	char *key;
};

static struct counter commits_accepted = {
	.name = "cdmfleetd_commits_accepted",
	.help = "Configurations that this instance had accepted.",
};
static struct counter commits_lost = {
	.name = "cdmfleetd_commits_lost",
	.help = "Commits that lost against another.",
};
static struct counter commits_failed = {
	.name = "cdmfleetd_commits_failed",
	.help = "Commits that were not accepted or may not have been.",
};

static void on_head(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row);
static void on_put(void *arg, enum platform_outcome outcome);
static void step(struct commit *c);
static void write_rows(struct commit *c);
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static void read_version(struct commit *c);
static void on_version(void *arg, enum platform_outcome outcome,
		       const struct platform_row *row);
static void give_up(struct commit *c);
static void accepted(struct commit *c);
static void lost(struct commit *c, uint64_t version, const char *author);
static void remove_old_row(struct fleetd *f, uint64_t version);
static void on_old_row(void *arg, enum platform_outcome outcome,
		       const struct platform_row *row);
static void on_removed(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row);
static void removal_free(struct removal *r);
static void finish(struct commit *c, const struct commit_result *result);
static void commit_free(struct commit *c);
static uint64_t nonce_number(const char *nonce);

/* Returns an empty list and registers the counters. */
struct commits *commits_new(void)
{
	counter_register(&commits_accepted);
	counter_register(&commits_lost);
	counter_register(&commits_failed);
	return xcalloc(1, sizeof(struct commits));
}

/* Frees the list and commits in progress without calling their done().  The
 * platform's calls must be cancelled before. */
void commits_free(struct commits *list)
{
	struct commit *c;

	while ((c = list->first)) {
		list->first = c->next;
		commit_free(c);
	}
	free(list);
}

/* Retries commits whose delay is over and ends those past their deadline. */
void commits_tick(struct fleetd *f, uint64_t now)
{
	struct commit *c;
	struct commit *next;

	for (c = f->commits->first; c; c = next) {
		next = c->next;
		if (c->busy || now < c->next_step_ms)
			continue;
		if (now >= c->deadline_ms)
			give_up(c);
		else
			step(c);
	}
}

/* Starts to commit the file as version base + 1; the commit loses unless base
 * is the version in the head row.  Takes over the reference to config, sets its
 * version, and calls done once from the loop. */
void commit_start(struct fleetd *f, struct config *config, uint64_t base,
		  const char *author,
		  void (*done)(void *arg, const struct commit_result *result),
		  void *arg)
{
	struct commit *c = xcalloc(1, sizeof(*c));

	config->version = base + 1;
	c->f = f;
	c->config = config;
	c->done = done;
	c->arg = arg;
	c->head.version = base + 1;
	strlcpy(c->head.author, author, sizeof(c->head.author));
	config_digest(config->text, config->text_len, c->head.digest);
	snprintf(c->head.object, sizeof(c->head.object), "config/%s",
		 c->head.digest);
	platform_nonce(c->nonce);
	config_commit_init(&c->state, base, nonce_number(c->nonce),
			   config_digest_number(c->head.digest));
	c->deadline_ms = fleetd_now(f) + COMMIT_TIMEOUT_MS;
	c->busy = true;
	c->next = f->commits->first;
	f->commits->first = c;
	f->platform->ops->read(f->platform, CONFIG_HEAD_KEY, on_head, c);
}

/* Compares the head row's version with the base, then stores the file. */
static void on_head(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row)
{
	struct commit *c = arg;
	struct platform *p = c->f->platform;
	struct config_head head = { 0 };

	if (outcome != PLATFORM_OK && outcome != PLATFORM_NOT_FOUND) {
		give_up(c);
		return;
	}
	if (outcome == PLATFORM_OK) {
		if (!config_head_parse(row->value, row->value_len, &head)) {
			give_up(c);
			return;
		}
		c->head_row = row->version;
	}
	if (head.version != c->state.base) {
		lost(c, head.version, head.author);
		return;
	}
	p->ops->object_put(p, c->head.object, c->config->text,
			   c->config->text_len, on_put, c);
}

/* The object store's answer: writes the rows if the file is stored. */
static void on_put(void *arg, enum platform_outcome outcome)
{
	struct commit *c = arg;

	c->busy = false;
	if (outcome == PLATFORM_OK)
		step(c);
	else
		give_up(c);
}

/* Takes the next step that the state requires. */
static void step(struct commit *c)
{
	switch (c->state.state) {
	case CONFIG_COMMIT_WRITE:
		write_rows(c);
		return;
	case CONFIG_COMMIT_READ:
		read_version(c);
		return;
	case CONFIG_COMMIT_WON:
		accepted(c);
		return;
	case CONFIG_COMMIT_LOST:
		lost(c, c->state.winner.version, "another operator");
		return;
	}
	abort();
}

/* Sends the transaction that writes both rows. */
static void write_rows(struct commit *c)
{
	struct platform *p = c->f->platform;
	char *value = config_head_format(&c->head);
	char *key = config_version_key(c->head.version);
	const struct platform_write writes[] = {
		{ .key = CONFIG_HEAD_KEY,
		  .value = value,
		  .if_version = c->head_row },
		{ .key = key, .value = value, .if_version = 0 },
	};

	c->busy = true;
	p->ops->write(p, c->nonce, writes, 2, on_written, c);
	free(key);
	free(value);
}

/* The answer to the transaction, or its loss. */
static void on_written(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	struct commit *c = arg;
	enum config_commit_result result = CONFIG_COMMIT_FAILED;

	(void)version;
	(void)row;
	c->busy = false;
	if (outcome == PLATFORM_OK) {
		result = CONFIG_COMMIT_OK;
	} else if (outcome == PLATFORM_CONFLICT) {
		result = CONFIG_COMMIT_CONFLICT;
	} else if (outcome == PLATFORM_UNKNOWN) {
		result = CONFIG_COMMIT_NO_ANSWER;
		c->uncertain = true;
	}
	config_commit_answered(&c->state, result);
	if (result == CONFIG_COMMIT_OK || result == CONFIG_COMMIT_CONFLICT)
		step(c);
	else
		c->next_step_ms = fleetd_now(c->f) + COMMIT_RETRY_DELAY_MS;
}

/* Reads the version's own row, which exists if any commit of it succeeded. */
static void read_version(struct commit *c)
{
	struct platform *p = c->f->platform;
	char *key = config_version_key(c->head.version);

	c->busy = true;
	p->ops->read(p, key, on_version, c);
	free(key);
}

/* The version's own row: its nonce shows which commit succeeded. */
static void on_version(void *arg, enum platform_outcome outcome,
		       const struct platform_row *row)
{
	struct commit *c = arg;
	struct config_version_row seen = { 0 };
	struct config_head head = { 0 };

	c->busy = false;
	c->next_step_ms = fleetd_now(c->f) + COMMIT_RETRY_DELAY_MS;
	if (outcome == PLATFORM_OK &&
	    config_head_parse(row->value, row->value_len, &head) &&
	    head.version == c->head.version) {
		seen.version = head.version;
		seen.nonce = nonce_number(row->nonce);
		seen.digest = config_digest_number(head.digest);
	} else if (outcome != PLATFORM_NOT_FOUND) {
		return;
	}
	config_commit_read(&c->state, &seen);
	if (c->state.state == CONFIG_COMMIT_LOST)
		lost(c, head.version, head.author);
	else if (c->state.state == CONFIG_COMMIT_WON)
		accepted(c);
}

/* Ends the commit without acceptance.  The outcome is unknown only if the
 * answer to a write was lost. */
static void give_up(struct commit *c)
{
	struct commit_result result = {
		.outcome = c->uncertain ? COMMIT_UNKNOWN : COMMIT_NOT_ACCEPTED,
		.version = c->head.version,
		.reason =
			c->uncertain
				? "the platform's table stopped answering "
				  "during the commit; the file may be accepted"
				: "the platform's table or object store does "
				  "not answer; the file is not accepted",
	};

	counter_add(&commits_failed, 1);
	finish(c, &result);
}

/* The commit succeeded: puts the version in force on this instance before the
 * operator gets the answer. */
static void accepted(struct commit *c)
{
	struct commit_result result = {
		.outcome = COMMIT_ACCEPTED,
		.version = c->head.version,
	};

	counter_add(&commits_accepted, 1);
	confsync_accepted(c->f, config_ref(c->config), c->head.author);
	remove_old_row(c->f, c->head.version);
	finish(c, &result);
}

/* Removes the row of the version that is VERSION_ROWS_KEPT older, so that the
 * table doesn't grow with each change.  A failed removal is not retried and
 * leaves the row behind. */
static void remove_old_row(struct fleetd *f, uint64_t version)
{
	struct removal *r;

	if (version <= VERSION_ROWS_KEPT)
		return;
	r = xcalloc(1, sizeof(*r));
	r->f = f;
	r->key = config_version_key(version - VERSION_ROWS_KEPT);
	f->platform->ops->read(f->platform, r->key, on_old_row, r);
}

/* Removes the row that was read, if it is unchanged. */
static void on_old_row(void *arg, enum platform_outcome outcome,
		       const struct platform_row *row)
{
	struct removal *r = arg;
	struct platform *p = r->f->platform;
	struct platform_write write = { .key = r->key };
	char nonce[PLATFORM_NONCE_SIZE];

	if (outcome != PLATFORM_OK) {
		removal_free(r);
		return;
	}
	write.if_version = row->version;
	platform_nonce(nonce);
	p->ops->write(p, nonce, &write, 1, on_removed, r);
}

static void on_removed(void *arg, enum platform_outcome outcome,
		       uint64_t version, const struct platform_row *row)
{
	(void)outcome;
	(void)version;
	(void)row;
	removal_free(arg);
}

static void removal_free(struct removal *r)
{
	free(r->key);
	free(r);
}

/* Ends the commit: version, written by author, was accepted instead. */
static void lost(struct commit *c, uint64_t version, const char *author)
{
	struct commit_result result = {
		.outcome = COMMIT_LOST,
		.version = version,
		.author = author,
	};

	counter_add(&commits_lost, 1);
	finish(c, &result);
}

/* Reports the outcome to the caller and frees the commit. */
static void finish(struct commit *c, const struct commit_result *result)
{
	struct commit **p = &c->f->commits->first;

	c->done(c->arg, result);
	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	commit_free(c);
}

static void commit_free(struct commit *c)
{
	config_unref(c->config);
	free(c);
}

/* Returns the first 64 bits of a nonce in hexadecimal digits. */
static uint64_t nonce_number(const char *nonce)
{
	char first[17];

	strlcpy(first, nonce, sizeof(first));
	return strtoull(first, NULL, 16);
}
