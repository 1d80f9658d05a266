/*
 * Exchange of the parts of prompts: those of runs that a crash of their endpoint
 * cut off, each sent to the instances that keep its record, and those that are
 * sound after all, sent to all.  A prompt may have thousands of parts.
 */
#include "proxyd/peers_table.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "proxyd/proxyd.h"
#include "proxyd/suspects.h"

#define PER_DATAGRAM_MAX 200 /* parts, each of 8 bytes */

static void send_due(struct peers *t, struct announced_parts *item);
static void send_list(struct peers *t, const struct peer *to,
		      const struct run_crash *crash, uint64_t *parts, size_t n);

/* Queues the parts of a run that a crash cut off, or, if crash is NULL, sound
 * ones: they are sent SUSPECT_SENDS times, from the next tick on. */
void peers_announce_parts(struct peers *t, const struct run_crash *crash,
			  const uint64_t *parts, size_t n)
{
	struct announced_parts *item =
		&t->parts[t->parts_next++ % PARTS_QUEUED];

	if (item->sends_left == SUSPECT_SENDS)
		send_due(t, item);
	free(item->parts);
	*item = (struct announced_parts){
		.parts = xcalloc(n, sizeof(*parts)),
		.n = n,
		.sends_left = SUSPECT_SENDS,
		.due_ms = proxyd_now(t->proxyd),
	};
	memcpy(item->parts, parts, n * sizeof(*parts));
	if (crash)
		item->crash = *crash;
}

/* Sends sound parts to one instance, once. */
void peers_send_parts(struct peers *t, const struct peer *to,
		      const uint64_t *parts, size_t n)
{
	const struct run_crash none = { .id = 0 };
	uint64_t list[PER_DATAGRAM_MAX];
	size_t i;
	size_t k = 0;

	for (i = 0; i < n; i++) {
		list[k++] = parts[i];
		if (k < PER_DATAGRAM_MAX && i + 1 < n)
			continue;
		send_list(t, to, &none, list, k);
		k = 0;
	}
}

/* Sends the lists that are due. */
void peers_send_due_parts(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	for (i = 0; i < PARTS_QUEUED; i++)
		if (t->parts[i].sends_left && now >= t->parts[i].due_ms)
			send_due(t, &t->parts[i]);
}

/* Sends a list: the parts of a crashed run to their keepers, sound ones to
 * all. */
static void send_due(struct peers *t, struct announced_parts *item)
{
	struct record_keepers *keepers = xcalloc(item->n, sizeof(*keepers));
	uint64_t list[PER_DATAGRAM_MAX];
	const struct peer *peer;
	size_t i;

	item->sends_left--;
	item->due_ms = proxyd_now(t->proxyd) + SUSPECT_RESEND_MS;
	for (i = 0; i < item->n; i++)
		keepers[i] = item->crash.id
				     ? peers_record_keepers(t, item->parts[i])
				     : (struct record_keepers){ .all = true };
	TAILQ_FOREACH(peer, &t->list, link)
	{
		size_t n = 0;

		for (i = 0; i < item->n; i++) {
			if (!peer_keeps_record(peer, item->parts[i],
					       &keepers[i]))
				continue;
			list[n++] = item->parts[i];
			if (n < PER_DATAGRAM_MAX)
				continue;
			send_list(t, peer, &item->crash, list, n);
			n = 0;
		}
		if (n)
			send_list(t, peer, &item->crash, list, n);
	}
	free(keepers);
}

/* Sends a list of parts to an instance. */
static void send_list(struct peers *t, const struct peer *to,
		      const struct run_crash *crash, uint64_t *parts, size_t n)
{
	uint64_t now = proxyd_now(t->proxyd);
	PeerParts msg = PEER_PARTS__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;

	msg.instance = peers_name_hash(t->proxyd->settings.name);
	msg.strike = crash->id;
	if (crash->id) {
		msg.endpoint = crash->endpoint;
		msg.content = crash->content;
		msg.sent_ms_ago = (uint32_t)(now - crash->sent_ms);
		msg.ended_ms_ago = (uint32_t)(now - crash->crashed_ms);
	}
	msg.parts = parts;
	msg.n_parts = n;
	d.parts = &msg;
	peers_send(t, to, &d);
}

/* Applies a list of parts from another instance; an inconsistent one is
 * skipped. */
void peers_receive_parts(struct peers *t, const PeerParts *msg)
{
	struct peer *from = peers_find_hash(t, msg->instance);
	uint64_t now = proxyd_now(t->proxyd);
	struct run_crash crash = { .id = msg->strike };

	if (!from || msg->sent_ms_ago < msg->ended_ms_ago ||
	    now < msg->sent_ms_ago)
		return;
	crash.endpoint = msg->endpoint;
	crash.content = msg->content;
	crash.sent_ms = now - msg->sent_ms_ago;
	crash.crashed_ms = now - msg->ended_ms_ago;
	suspects_receive_parts(t->proxyd->suspects, msg->strike ? &crash : NULL,
			       msg->parts, msg->n_parts, from);
}
