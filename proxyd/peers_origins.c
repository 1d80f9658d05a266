/*
 * Exchange of the software versions that began streams.  Each stream's version
 * is told to the few instances that keep its record, once it has begun; an
 * instance where a caller resumes a stream that it does not know asks them.
 */
#include "proxyd/peers_table.h"

#include "policy/stream_origin.h"
#include "proxyd/origins.h"
#include "proxyd/proxyd.h"

#define PER_DATAGRAM_MAX 64 /* each of 20 bytes */

/* What one datagram holds. */
struct parcel {
	PeerOrigin origins[PER_DATAGRAM_MAX];
	PeerOrigin *list[PER_DATAGRAM_MAX];
	uint64_t wanted[PER_DATAGRAM_MAX];
	size_t n_origins;
	size_t n_wanted;
};

static void enqueue(struct peers *t, const struct peer *to, uint64_t stream,
		    uint64_t software);
static void add_origin(struct parcel *p, uint64_t stream, uint64_t software);
static void send_parcel(struct peers *t, const struct peer *to,
			struct parcel *p);

/* Queues the version that began a stream for the keepers of its record, to be
 * sent at the next tick, once: each of them suffices. */
void peers_announce_origin(struct peers *t, uint64_t stream, uint64_t software)
{
	enqueue(t, NULL, stream, software);
}

/* Queues the version that began a stream for one instance, if it is a keeper of
 * its record. */
void peers_send_origin(struct peers *t, const struct peer *to, uint64_t stream,
		       uint64_t software)
{
	enqueue(t, to, stream, software);
}

/* Queues a question to the keepers of a stream's record. */
void peers_ask_origin(struct peers *t, uint64_t stream)
{
	enqueue(t, NULL, stream, SOFTWARE_UNKNOWN);
}

/* Adds to the queue, which is sent at once if it is full. */
static void enqueue(struct peers *t, const struct peer *to, uint64_t stream,
		    uint64_t software)
{
	if (t->n_origins == ORIGINS_QUEUED)
		peers_send_origins(t);
	t->origins[t->n_origins++] = (struct announced_origin){
		.stream = stream,
		.software = software,
		.to = to,
	};
}

/* Sends what is in the queue. */
void peers_send_origins(struct peers *t)
{
	const struct peer *peer;
	struct parcel parcel = { .n_origins = 0 };
	size_t i;

	for (i = 0; i < t->n_origins; i++)
		t->origins[i].keepers =
			peers_record_keepers(t, t->origins[i].stream);
	TAILQ_FOREACH(peer, &t->list, link)
	{
		for (i = 0; i < t->n_origins; i++) {
			const struct announced_origin *o = &t->origins[i];

			if ((o->to && o->to != peer) ||
			    !peer_keeps_record(peer, o->stream, &o->keepers))
				continue;
			if (o->software == SOFTWARE_UNKNOWN)
				parcel.wanted[parcel.n_wanted++] = o->stream;
			else
				add_origin(&parcel, o->stream, o->software);
			if (parcel.n_origins == PER_DATAGRAM_MAX ||
			    parcel.n_wanted == PER_DATAGRAM_MAX)
				send_parcel(t, peer, &parcel);
		}
		send_parcel(t, peer, &parcel);
	}
	t->n_origins = 0;
}

/* Applies the notes of another instance, and answers its questions with those
 * notes that this one has.  It does not say that it has none, as that proves
 * nothing: it may have started since. */
void peers_receive_origins(struct peers *t, const PeerOrigins *msg)
{
	const struct peer *from = peers_find_hash(t, msg->instance);
	struct origins *origins = t->proxyd->origins;
	struct parcel answer = { .n_origins = 0 };
	size_t i;

	if (!from)
		return;
	for (i = 0; i < msg->n_origins; i++)
		origins_receive(origins, msg->origins[i]->stream,
				msg->origins[i]->software);
	for (i = 0; i < msg->n_wanted; i++) {
		uint64_t software =
			origins_begun_software(origins, msg->wanted[i]);

		if (software != SOFTWARE_UNKNOWN)
			add_origin(&answer, msg->wanted[i], software);
		if (answer.n_origins == PER_DATAGRAM_MAX)
			send_parcel(t, from, &answer);
	}
	send_parcel(t, from, &answer);
}

/* Adds a note to a parcel. */
static void add_origin(struct parcel *p, uint64_t stream, uint64_t software)
{
	PeerOrigin *o = &p->origins[p->n_origins];

	peer_origin__init(o);
	o->stream = stream;
	o->software = software;
	p->list[p->n_origins++] = o;
}

/* Sends a parcel, unless it is empty, and empties it. */
static void send_parcel(struct peers *t, const struct peer *to,
			struct parcel *p)
{
	PeerOrigins msg = PEER_ORIGINS__INIT;
	PeerDatagram d = PEER_DATAGRAM__INIT;

	if (!p->n_origins && !p->n_wanted)
		return;
	msg.instance = peers_name_hash(t->proxyd->settings.name);
	msg.origins = p->list;
	msg.n_origins = p->n_origins;
	msg.wanted = p->wanted;
	msg.n_wanted = p->n_wanted;
	d.origins = &msg;
	peers_send(t, to, &d);
	p->n_origins = 0;
	p->n_wanted = 0;
}
