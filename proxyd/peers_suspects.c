/*
 * What instances tell each other of requests under which endpoints ended.  An
 * end concerns each request that was there, so that it is told only to the few
 * instances that keep the records of its content; a refusal, which is rare, to
 * all.
 */
#include "proxyd/peers_table.h"

#include <string.h>

#include "lib/event_log.h"
#include "proxyd/proxyd.h"
#include "proxyd/suspects.h"

/* Among so many instances all keep all records. */
#define ALL_KEEP_MAX 8

/* Among more, so many keep those of a content: that all of them are lost at
 * once, or hear nothing, is left to the store's row and the next run. */
#define KEEPERS 4

#define SENDS 3 /* a datagram is lost now and then */
#define AGAIN_MS 250 /* after this, it is sent once more */
#define PER_DATAGRAM 24 /* of 50 bytes at most */

static size_t find_keepers(const struct peers *t, uint64_t content,
			   uint64_t *weakest);
static bool addressed(const struct told_suspect *told, const struct peer *peer);
static void fill(PeerSuspect *out, const struct suspect_update *news,
		 uint64_t now);
static void send_list(struct peers *t, const struct peer *to, PeerSuspect *list,
		      size_t n);

/* Tells who is concerned, within a tick and twice again. */
void peers_tell_suspect(struct peers *t, const struct suspect_update *news)
{
	struct told_suspect *told =
		&t->suspects[t->suspect_next++ % SUSPECTS_KEPT];

	*told = (struct told_suspect){
		.news = *news,
		.sends_left = SENDS,
		.due_ms = proxyd_now(t->proxyd),
	};
}

/* Tells one instance, once. */
void peers_tell_suspect_to(struct peers *t, const struct peer *peer,
			   const struct suspect_update *news)
{
	PeerSuspect one;

	fill(&one, news, proxyd_now(t->proxyd));
	send_list(t, peer, &one, 1);
}

/* Sends what is due. */
void peers_tell_suspects(struct peers *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct told_suspect *due[SUSPECTS_KEPT];
	PeerSuspect list[PER_DATAGRAM];
	const struct peer *peer;
	size_t n_due = 0;
	size_t i;

	for (i = 0; i < SUSPECTS_KEPT; i++) {
		struct told_suspect *told = &t->suspects[i];

		if (!told->sends_left || now < told->due_ms)
			continue;
		due[n_due++] = told;
		told->to_all = told->news.kind != SUSPECT_CRASH ||
			       t->n < ALL_KEEP_MAX;
		if (!told->to_all)
			find_keepers(t, told->news.content,
				     &told->weakest_keeper);
		told->sends_left--;
		told->due_ms = now + AGAIN_MS;
	}
	if (!n_due)
		return;
	TAILQ_FOREACH(peer, &t->list, link)
	{
		size_t n = 0;

		for (i = 0; i < n_due; i++) {
			if (!addressed(due[i], peer))
				continue;
			fill(&list[n++], &due[i]->news, now);
			if (n < PER_DATAGRAM)
				continue;
			send_list(t, peer, list, n);
			n = 0;
		}
		if (n)
			send_list(t, peer, list, n);
	}
}

/* Takes what another instance tells. */
void peers_take_suspects(struct peers *t, const PeerSuspects *said)
{
	struct peer *from = peers_find_hash(t, said->instance);
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	if (!from)
		return;
	for (i = 0; i < said->n_suspects; i++) {
		const PeerSuspect *s = said->suspects[i];
		struct suspect_update news = {
			.content = s->content,
			.kind = SUSPECT_CRASH,
		};

		if (!s->content || s->sent_ms_ago < s->ended_ms_ago ||
		    now < s->sent_ms_ago || now < s->since_ms_ago)
			continue;
		if (s->ran) {
			news.kind = SUSPECT_COMPLETED;
		} else if (s->refused_ms) {
			news.kind = SUSPECT_REFUSED;
			news.until_ms = now + s->refused_ms;
			news.since_ms = now - s->since_ms_ago;
		} else if (s->strike) {
			news.crash.id = s->strike;
			news.crash.endpoint = s->endpoint;
			news.crash.sent_ms = now - s->sent_ms_ago;
			news.crash.crashed_ms = now - s->ended_ms_ago;
		} else {
			continue;
		}
		suspects_receive(t->proxyd->suspects, &news, from);
	}
}

/* Tells whether this instance is among those that keep a content's records. */
bool peers_keep_record(const struct peers *t, uint64_t content)
{
	uint64_t own = peers_name_hash(t->proxyd->settings.name);
	uint64_t weakest;

	return t->n < ALL_KEEP_MAX ||
	       find_keepers(t, content, &weakest) < KEEPERS ||
	       crash_suspect_weight(content, own) >= weakest;
}

/* Tells whether this instance is the first of them. */
bool peers_keep_first(const struct peers *t, uint64_t content)
{
	uint64_t own = crash_suspect_weight(
		content, peers_name_hash(t->proxyd->settings.name));
	const struct peer *peer;

	TAILQ_FOREACH(peer, &t->list, link)
	if (peer->alive && crash_suspect_weight(content, peer->hash) > own)
		return false;
	return true;
}

/* Finds the least weight of the keepers among the other instances that live;
 * returns their number. */
static size_t find_keepers(const struct peers *t, uint64_t content,
			   uint64_t *weakest)
{
	uint64_t best[KEEPERS] = { 0 }; /* descending */
	const struct peer *peer;
	size_t n = 0;

	TAILQ_FOREACH(peer, &t->list, link)
	{
		uint64_t weight = crash_suspect_weight(content, peer->hash);
		size_t i;

		if (!peer->alive ||
		    (n == KEEPERS && weight <= best[KEEPERS - 1]))
			continue;
		if (n < KEEPERS)
			n++;
		for (i = n - 1; i && best[i - 1] < weight; i--)
			best[i] = best[i - 1];
		best[i] = weight;
	}
	*weakest = n == KEEPERS ? best[KEEPERS - 1] : 0;
	return n;
}

/* Tells whether an instance is told something. */
static bool addressed(const struct told_suspect *told, const struct peer *peer)
{
	return told->to_all ||
	       (peer->alive &&
		crash_suspect_weight(told->news.content, peer->hash) >=
			told->weakest_keeper);
}

/* Writes something as it is told at this moment. */
static void fill(PeerSuspect *out, const struct suspect_update *news,
		 uint64_t now)
{
	peer_suspect__init(out);
	out->content = news->content;
	switch (news->kind) {
	case SUSPECT_CRASH:
		out->strike = news->crash.id;
		out->endpoint = news->crash.endpoint;
		out->sent_ms_ago = (uint32_t)(now - news->crash.sent_ms);
		out->ended_ms_ago = (uint32_t)(now - news->crash.crashed_ms);
		break;
	case SUSPECT_REFUSED:
		if (news->until_ms > now) /* else it has lapsed */
			out->refused_ms = (uint32_t)(news->until_ms - now);
		out->since_ms_ago = (uint32_t)(now - news->since_ms);
		break;
	case SUSPECT_COMPLETED:
		out->ran = true;
		break;
	}
}

/* Sends a list to an instance. */
static void send_list(struct peers *t, const struct peer *to, PeerSuspect *list,
		      size_t n)
{
	PeerSuspect *pointers[PER_DATAGRAM];
	PeerSuspects said = PEER_SUSPECTS__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;
	size_t i;

	for (i = 0; i < n; i++)
		pointers[i] = &list[i];
	said.instance = peers_name_hash(t->proxyd->settings.name);
	said.suspects = pointers;
	said.n_suspects = n;
	d.suspects = &said;
	peers_send(t, to, &d);
}
