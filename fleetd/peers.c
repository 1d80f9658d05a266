/*
 * Connections on the control address: those of this instance's cdmentryds, and
 * those to and from other cdmfleetds.  The latter are opened on demand, limited
 * in number and closed when idle.
 */
#include "fleetd/peers.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/confsync.h"
#include "fleetd/demands.h"
#include "fleetd/feed.h"
#include "fleetd/gossip.h"
#include "lib/counters.h"
#include "lib/xalloc.h"
#include "proto/control.pb-c.h"

#define PEERS_MAX 64 /* connections to and from other cdmfleetds */
#define PEER_IDLE_TIMEOUT_MS 20000
#define PEER_CONNECT_TIMEOUT_MS 1500
#define PEER_QUEUE_MAX 16 /* messages queued until the connection opens */

enum peer_role {
	PEER_NEW, /* accepted, no message received yet */
	PEER_FEED, /* a cdmentryd of this instance */
	PEER_FLEETD, /* another cdmfleetd */
};

/* A message queued until the connection opens. */
struct queued_message {
	uint8_t type;
	const ProtobufCMessageDescriptor *descriptor;
	uint8_t *packed;
	size_t len;
};

struct peer {
	struct fleetd *f;
	struct frame_conn *conn;
	enum peer_role role;
	uint64_t id; /* of the instance; 0: not known */
	char *address; /* connected to, or NULL if accepted */
	bool open;
	bool closing;
	uint64_t last_used_ms;
	struct queued_message queue[PEER_QUEUE_MAX];
	size_t n_queue;
};

struct peers {
	struct frame_server *server;
	struct peer **all;
	size_t n;
};

static struct counter sent_bytes = {
	.name = "cdmfleetd_peer_sent_bytes",
	.help = "Payload bytes sent to other cdmfleetds.",
};
static struct counter received_bytes = {
	.name = "cdmfleetd_peer_received_bytes",
	.help = "Payload bytes received from other cdmfleetds.",
};
static struct counter malformed = {
	.name = "cdmfleetd_malformed_messages",
	.help = "Connections closed because of a malformed message.",
};
static struct counter open_peers = {
	.name = "cdmfleetd_peer_connections",
	.help = "Connections to and from other cdmfleetds.",
	.kind = COUNTER_GAUGE,
};

static void on_open(struct frame_conn *c, void *arg);
static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len);
static void on_close(struct frame_conn *c, void *arg, const char *why);
static bool dispatch(struct peer *peer, uint8_t type, const uint8_t *data,
		     size_t len);
static bool receive_digest(struct peer *peer, const uint8_t *data, size_t len);
static bool receive_config(struct peer *peer, const uint8_t *data, size_t len);
static bool receive_hello(struct peer *peer, const uint8_t *data, size_t len);
static bool receive_observation(struct peer *peer, const uint8_t *data,
				size_t len);
static struct peer *peer_add(struct fleetd *f, struct frame_conn *c);
static struct peer *peer_find(const struct peers *p, uint64_t id,
			      const char *address);
static void peer_enqueue(struct peer *peer, uint8_t type,
			 const ProtobufCMessage *message);
static void peer_flush(struct peer *peer);
static void peer_evict(struct fleetd *f);
static void peer_close(struct peer *peer);

static const struct frame_ops peer_ops = {
	.on_open = on_open,
	.on_message = on_message,
	.on_close = on_close,
};

/* Listens on the control address.  Returns NULL with a message in err on
 * failure. */
struct peers *peers_new(struct fleetd *f, char *err, size_t err_size)
{
	struct peers *p = xcalloc(1, sizeof(*p));

	p->server = frame_listen(f->loop, f->settings->control_address,
				 &peer_ops, f, err, err_size);
	if (!p->server) {
		free(p);
		return NULL;
	}
	counter_register(&sent_bytes);
	counter_register(&received_bytes);
	counter_register(&malformed);
	counter_register(&open_peers);
	return p;
}

/* Stops listening and closes every connection.  The loop must run until
 * peers_count() is 0. */
void peers_stop(struct fleetd *f)
{
	size_t i;

	frame_server_close(f->peers->server);
	for (i = 0; i < f->peers->n; i++)
		peer_close(f->peers->all[i]);
}

/* Frees the table; no connection may be left. */
void peers_free(struct peers *p)
{
	free(p->all);
	free(p);
}

/* Returns the number of connections of any kind. */
size_t peers_count(const struct fleetd *f)
{
	return f->peers->n;
}

/* Closes connections to cdmfleetds that did not open in time or that are
 * idle. */
void peers_tick(struct fleetd *f, uint64_t now)
{
	size_t fleetds = 0;
	struct peer *peer;
	uint64_t limit;
	size_t i;

	for (i = 0; i < f->peers->n; i++) {
		peer = f->peers->all[i];
		if (peer->role == PEER_FEED)
			continue;
		fleetds++;
		limit = peer->open ? PEER_IDLE_TIMEOUT_MS
				   : PEER_CONNECT_TIMEOUT_MS;
		if (now > peer->last_used_ms + limit)
			peer_close(peer);
	}
	counter_set(&open_peers, (double)fleetds);
}

/* Sends a message to the cdmfleetd with the id, or to the one at the address if
 * the id is 0.  Connects if there is no connection.  A message that can't be
 * sent is dropped, because every message is repeated later. */
void peers_send(struct fleetd *f, uint64_t id, const char *address,
		uint8_t type, const ProtobufCMessage *message)
{
	struct peer *peer = peer_find(f->peers, id, address);

	if (!peer) {
		peer_evict(f);
		peer = peer_add(f, NULL);
		peer->role = PEER_FLEETD;
		peer->id = id;
		peer->address = xstrdup(address);
		peer->conn = frame_connect(f->loop, address, &peer_ops, f);
		frame_set_data(peer->conn, peer);
	}
	peer->last_used_ms = fleetd_now(f);
	counter_add(&sent_bytes,
		    (double)protobuf_c_message_get_packed_size(message));
	if (peer->open)
		frame_send(peer->conn, type, message);
	else
		peer_enqueue(peer, type, message);
}

/* Closes the connections of an instance that doesn't respond, so that the next
 * message opens a new connection. */
void peers_disconnect(struct fleetd *f, uint64_t id)
{
	size_t i;

	for (i = 0; i < f->peers->n; i++)
		if (f->peers->all[i]->id == id)
			peer_close(f->peers->all[i]);
}

/* Returns the usable connection of the instance with the id, or of the address
 * if the id is 0; NULL if there is none. */
static struct peer *peer_find(const struct peers *p, uint64_t id,
			      const char *address)
{
	struct peer *peer;
	size_t i;

	for (i = 0; i < p->n; i++) {
		peer = p->all[i];
		if (peer->role != PEER_FLEETD || peer->closing)
			continue;
		if (id && peer->id == id)
			return peer;
		if (!id && peer->address && !strcmp(peer->address, address))
			return peer;
	}
	return NULL;
}

/* Closes the least recently used connection to a cdmfleetd if there are
 * PEERS_MAX or more. */
static void peer_evict(struct fleetd *f)
{
	struct peer *oldest = NULL;
	struct peer *peer;
	size_t fleetds = 0;
	size_t i;

	for (i = 0; i < f->peers->n; i++) {
		peer = f->peers->all[i];
		if (peer->role == PEER_FEED || peer->closing)
			continue;
		fleetds++;
		if (!oldest || peer->last_used_ms < oldest->last_used_ms)
			oldest = peer;
	}
	if (fleetds >= PEERS_MAX)
		peer_close(oldest);
}

/* Closes a connection; on_close() removes it from the table. */
static void peer_close(struct peer *peer)
{
	peer->closing = true;
	frame_close(peer->conn);
}

/* Adds a connection to the table. */
static struct peer *peer_add(struct fleetd *f, struct frame_conn *c)
{
	struct peers *p = f->peers;
	struct peer *peer = xcalloc(1, sizeof(*peer));

	peer->f = f;
	peer->conn = c;
	peer->last_used_ms = fleetd_now(f);
	p->all = xreallocarray(p->all, p->n + 1, sizeof(struct peer *));
	p->all[p->n++] = peer;
	return peer;
}

/* Queues a packed copy of the message until the connection opens.  A full queue
 * drops the new message. */
static void peer_enqueue(struct peer *peer, uint8_t type,
			 const ProtobufCMessage *message)
{
	struct queued_message *q;

	if (peer->n_queue == PEER_QUEUE_MAX)
		return;
	q = &peer->queue[peer->n_queue++];
	q->type = type;
	q->descriptor = message->descriptor;
	q->len = protobuf_c_message_get_packed_size(message);
	q->packed = xcalloc(q->len, 1);
	protobuf_c_message_pack(message, q->packed);
}

/* Sends the queued messages, or drops them if the connection is closed. */
static void peer_flush(struct peer *peer)
{
	ProtobufCMessage *m;
	struct queued_message *q;
	size_t i;

	for (i = 0; i < peer->n_queue; i++) {
		q = &peer->queue[i];
		m = peer->open ? protobuf_c_message_unpack(q->descriptor, NULL,
							   q->len, q->packed)
			       : NULL;
		if (m)
			frame_send(peer->conn, q->type, m);
		if (m)
			protobuf_c_message_free_unpacked(m, NULL);
		free(q->packed);
	}
	peer->n_queue = 0;
}

/* An outgoing or accepted connection is open. */
static void on_open(struct frame_conn *c, void *arg)
{
	struct peer *peer = frame_data(c);

	if (!peer) {
		peer_evict(arg);
		peer = peer_add(arg, c);
		frame_set_data(c, peer);
	}
	peer->open = true;
	/* the peer accepts other messages only after a digest */
	if (peer->n_queue &&
	    peer->queue[0].type != CDM__FRAME_TYPE__FRAME_DIGEST)
		gossip_send_identity(peer->f, c);
	peer_flush(peer);
}

/* Processes one message; returns false to close the connection. */
static bool on_message(struct frame_conn *c, void *arg, uint8_t type,
		       const uint8_t *data, size_t len)
{
	struct peer *peer = frame_data(c);

	(void)arg;
	peer->last_used_ms = fleetd_now(peer->f);
	if (dispatch(peer, type, data, len))
		return true;
	counter_add(&malformed, 1);
	return false;
}

/* Removes a closed connection, and the feed of a cdmentryd. */
static void on_close(struct frame_conn *c, void *arg, const char *why)
{
	struct peer *peer = frame_data(c);
	struct fleetd *f = arg;
	struct peers *p = f->peers;
	size_t i;

	(void)why;
	if (!peer)
		return;
	if (peer->role == PEER_FEED)
		feed_closed(f, c);
	for (i = 0; i < p->n && p->all[i] != peer; i++)
		;
	p->all[i] = p->all[--p->n];
	peer->open = false;
	peer_flush(peer);
	free(peer->address);
	free(peer);
}

/* Passes a message to its handler.  Returns false if the message is malformed
 * or not allowed in the connection's role. */
static bool dispatch(struct peer *peer, uint8_t type, const uint8_t *data,
		     size_t len)
{
	switch (type) {
	case CDM__FRAME_TYPE__FRAME_HELLO:
		return peer->role == PEER_NEW && receive_hello(peer, data, len);
	case CDM__FRAME_TYPE__FRAME_OBSERVATION:
		return peer->role != PEER_NEW &&
		       receive_observation(peer, data, len);
	case CDM__FRAME_TYPE__FRAME_DIGEST:
		return peer->role != PEER_FEED &&
		       receive_digest(peer, data, len);
	case CDM__FRAME_TYPE__FRAME_CONFIG:
		return peer->role == PEER_FLEETD &&
		       receive_config(peer, data, len);
	default:
		return false;
	}
}

/* Handles the first message of a cdmentryd, which starts its feed. */
static bool receive_hello(struct peer *peer, const uint8_t *data, size_t len)
{
	Cdm__Hello *m = cdm__hello__unpack(NULL, len, data);

	if (!m)
		return false;
	peer->role = PEER_FEED;
	feed_opened(peer->f, peer->conn, m);
	cdm__hello__free_unpacked(m, NULL);
	return true;
}

/* Handles observations of a cdmentryd, or demands that another cdmfleetd
 * forwards. */
static bool receive_observation(struct peer *peer, const uint8_t *data,
				size_t len)
{
	Cdm__Observation *m = cdm__observation__unpack(NULL, len, data);

	if (!m)
		return false;
	if (peer->role == PEER_FEED) {
		feed_observed(peer->f, peer->conn, m);
	} else {
		counter_add(&received_bytes, (double)len);
		demands_received(peer->f, m);
	}
	cdm__observation__free_unpacked(m, NULL);
	return true;
}

/* Handles a digest.  It identifies the sender, so that later messages to that
 * instance may use this connection. */
static bool receive_digest(struct peer *peer, const uint8_t *data, size_t len)
{
	Cdm__Digest *m = cdm__digest__unpack(NULL, len, data);
	bool ok;

	if (!m)
		return false;
	counter_add(&received_bytes, (double)len);
	peer->role = PEER_FLEETD;
	peer->id = m->from;
	ok = gossip_received(peer->f, m);
	cdm__digest__free_unpacked(m, NULL);
	return ok;
}

/* Handles a configuration file from another cdmfleetd. */
static bool receive_config(struct peer *peer, const uint8_t *data, size_t len)
{
	Cdm__ConfigBody *m = cdm__config_body__unpack(NULL, len, data);

	if (!m)
		return false;
	counter_add(&received_bytes, (double)len);
	confsync_peer_body(peer->f, peer->id, m);
	cdm__config_body__free_unpacked(m, NULL);
	return true;
}
