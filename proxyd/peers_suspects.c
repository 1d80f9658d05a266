/*
 * Exchange of updates on requests suspected of crashing endpoints.  A crash
 * concerns every request that was running at the endpoint, so it is sent only
 * to the few instances that keep the records of the request's content.  A
 * refusal, which is rare, is sent to all instances.
 */
#include "proxyd/peers_table.h"

#include <string.h>

#include "lib/event_log.h"
#include "proxyd/proxyd.h"
#include "proxyd/suspects.h"

/* With fewer other instances than this, every instance keeps all records. */
#define ALL_KEEP_PEERS_MAX 8

/* Otherwise the number of instances that keep the records of a content.  If
 * all of them fail or miss an update, the row in the store and the next run
 * make up for it. */
#define KEEPERS_MAX 4

#define PER_DATAGRAM_MAX 24 /* each at most 50 bytes */

static size_t find_keepers(const struct peers *t, uint64_t content,
			   uint64_t *least_weight);
static void fill_suspect(PeerSuspect *out, const struct suspect_update *update,
			 uint64_t now);
static void send_list(struct peers *t, const struct peer *to, PeerSuspect *list,
		      size_t n);

/* Queues an update for the instances concerned: it is sent SUSPECT_SENDS times, from
 * the next tick on. */
void peers_announce_suspect(struct peers *t,
			    const struct suspect_update *update)
{
	struct announced_suspect *item =
		&t->suspects[t->suspect_next++ % SUSPECTS_QUEUED];

	*item = (struct announced_suspect){
		.update = *update,
		.sends_left = SUSPECT_SENDS,
		.due_ms = proxyd_now(t->proxyd),
	};
}

/* Sends an update to one instance, once. */
void peers_send_suspect(struct peers *t, const struct peer *peer,
			const struct suspect_update *update)
{
	PeerSuspect one;

	fill_suspect(&one, update, proxyd_now(t->proxyd));
	send_list(t, peer, &one, 1);
}

/* Sends the updates that are due. */
void peers_send_suspects(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct announced_suspect *due[SUSPECTS_QUEUED];
	PeerSuspect list[PER_DATAGRAM_MAX];
	const struct peer *peer;
	size_t n_due = 0;
	size_t i;

	for (i = 0; i < SUSPECTS_QUEUED; i++) {
		struct announced_suspect *item = &t->suspects[i];

		if (!item->sends_left || now < item->due_ms)
			continue;
		due[n_due++] = item;
		item->recipients =
			item->update.kind == SUSPECT_CRASH
				? peers_record_keepers(t, item->update.content)
				: (struct record_keepers){ .all = true };
		item->sends_left--;
		item->due_ms = now + SUSPECT_RESEND_MS;
	}
	if (!n_due)
		return;
	TAILQ_FOREACH(peer, &t->list, link)
	{
		size_t n = 0;

		for (i = 0; i < n_due; i++) {
			if (!peer_keeps_record(peer, due[i]->update.content,
					       &due[i]->recipients))
				continue;
			fill_suspect(&list[n++], &due[i]->update, now);
			if (n < PER_DATAGRAM_MAX)
				continue;
			send_list(t, peer, list, n);
			n = 0;
		}
		if (n)
			send_list(t, peer, list, n);
	}
}

/* Applies updates of another instance; inconsistent ones are skipped. */
void peers_receive_suspects(struct peers *t, const PeerSuspects *msg)
{
	struct peer *from = peers_find_hash(t, msg->instance);
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	if (!from)
		return;
	for (i = 0; i < msg->n_suspects; i++) {
		const PeerSuspect *s = msg->suspects[i];
		struct suspect_update update = {
			.content = s->content,
			.kind = SUSPECT_CRASH,
		};

		if (!s->content || s->sent_ms_ago < s->ended_ms_ago ||
		    now < s->sent_ms_ago || now < s->since_ms_ago)
			continue;
		if (s->ran) {
			update.kind = SUSPECT_COMPLETED;
		} else if (s->refused_ms) {
			update.kind = SUSPECT_REFUSED;
			update.until_ms = now + s->refused_ms;
			update.since_ms = now - s->since_ms_ago;
		} else if (s->strike) {
			update.crash.id = s->strike;
			update.crash.endpoint = s->endpoint;
			update.crash.sent_ms = now - s->sent_ms_ago;
			update.crash.crashed_ms = now - s->ended_ms_ago;
		} else {
			continue;
		}
		suspects_receive(t->proxyd->suspects, &update, from);
	}
}

/* Returns whether this instance keeps the records of a content. */
bool peers_is_record_keeper(const struct peers *t, uint64_t content)
{
	uint64_t own = peers_name_hash(t->proxyd->settings.name);
	uint64_t least_weight;

	return t->n < ALL_KEEP_PEERS_MAX ||
	       find_keepers(t, content, &least_weight) < KEEPERS_MAX ||
	       crash_suspect_weight(content, own) >= least_weight;
}

/* Returns whether the instances are so few that all keep all records. */
bool peers_all_keep_records(const struct peers *t)
{
	return t->n < ALL_KEEP_PEERS_MAX;
}

/* Returns whether this instance is the first keeper of a content: no live one
 * has a greater weight. */
bool peers_is_first_keeper(const struct peers *t, uint64_t content)
{
	uint64_t own = crash_suspect_weight(
		content, peers_name_hash(t->proxyd->settings.name));
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (peer->alive && crash_suspect_weight(content, peer->hash) > own)
		return false;
	return true;
}

/* Finds the keepers of a content among the other live instances.  Returns
 * their number, and sets least_weight to the least of their weights, 0 if they
 * are fewer than KEEPERS_MAX. */
static size_t find_keepers(const struct peers *t, uint64_t content,
			   uint64_t *least_weight)
{
	uint64_t best[KEEPERS_MAX] = { 0 }; /* descending */
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		uint64_t weight = crash_suspect_weight(content, peer->hash);
		size_t i;

		if (!peer->alive ||
		    (n == KEEPERS_MAX && weight <= best[KEEPERS_MAX - 1]))
			continue;
		if (n < KEEPERS_MAX)
			n++;
		for (i = n - 1; i && best[i - 1] < weight; i--)
			best[i] = best[i - 1];
		best[i] = weight;
	}
	*least_weight = n == KEEPERS_MAX ? best[KEEPERS_MAX - 1] : 0;
	return n;
}

/* Returns the other instances that keep the records of a hash. */
struct record_keepers peers_record_keepers(const struct peers *t, uint64_t hash)
{
	struct record_keepers keepers = { .all = t->n < ALL_KEEP_PEERS_MAX };

	if (!keepers.all)
		find_keepers(t, hash, &keepers.least_weight);
	return keepers;
}

/* Returns whether an instance is one of the keepers of a hash. */
bool peer_keeps_record(const struct peer *peer, uint64_t hash,
		       const struct record_keepers *keepers)
{
	return keepers->all ||
	       (peer->alive && crash_suspect_weight(hash, peer->hash) >=
				       keepers->least_weight);
}

/* Fills in the message for an update, with times relative to now. */
static void fill_suspect(PeerSuspect *out, const struct suspect_update *update,
			 uint64_t now)
{
	peer_suspect__init(out);
	out->content = update->content;
	switch (update->kind) {
	case SUSPECT_CRASH:
		out->strike = update->crash.id;
		out->endpoint = update->crash.endpoint;
		out->sent_ms_ago = (uint32_t)(now - update->crash.sent_ms);
		out->ended_ms_ago = (uint32_t)(now - update->crash.crashed_ms);
		break;
	case SUSPECT_REFUSED:
		if (update->until_ms > now) /* else it has expired */
			out->refused_ms = (uint32_t)(update->until_ms - now);
		out->since_ms_ago = (uint32_t)(now - update->since_ms);
		break;
	case SUSPECT_COMPLETED:
		out->ran = true;
		break;
	}
}

/* Sends a list of updates to an instance. */
static void send_list(struct peers *t, const struct peer *to, PeerSuspect *list,
		      size_t n)
{
	PeerSuspect *pointers[PER_DATAGRAM_MAX];
	PeerSuspects msg = PEER_SUSPECTS__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	size_t i;

	for (i = 0; i < n; i++)
		pointers[i] = &list[i];
	msg.instance = peers_name_hash(t->proxyd->settings.name);
	msg.suspects = pointers;
	msg.n_suspects = n;
	d.suspects = &msg;
	peers_send(t, to, &d);
}
