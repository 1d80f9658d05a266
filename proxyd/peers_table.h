#ifndef PROXYD_PEERS_TABLE_H
#define PROXYD_PEERS_TABLE_H

/* The table of instances from within: for peers.c and peers_*.c. */

#include <sys/queue.h>
#include <uv.h>

#include "lib/counters.h"
#include "policy/heartbeat.h"
#include "policy/store_reader.h"
#include "proto/peer.pb-c.h"
#include "proxyd/endpoints.h"
#include "proxyd/peers.h"
#include "proxyd/suspects.h"

#define LOADS_MAX 48 /* of one datagram, which fits one packet */
#define TOLD_MAX 8 /* endpoints lost, and found, of one datagram */
#define PROMPTS_MAX 16 /* places of prompts in one datagram */
#define PROMPTS_KEPT 64 /* of which datagrams are still to tell */
#define SUSPECTS_KEPT 128 /* the same of suspected requests */
#define DATAGRAM_MAX 2048

struct peer_load {
	uint64_t endpoint; /* hash of its id */
	struct handle at; /* where the load was added; may name none */
	struct endpoint_load load;
};

struct peer {
	TAILQ_ENTRY(peer) link;
	char *name;
	uint64_t hash; /* of the name */
	char *callers; /* addresses */
	char *control;
	char *peers;
	char *zone;
	uint32_t capacity; /* share of a core, in thousandths */
	struct sockaddr_in address;
	struct heartbeat presence;
	bool alive; /* as it was last judged, for the log */
	uint64_t born_ms;
	struct peer_load loads[LOADS_MAX];
	size_t n_loads;
	struct reader reader;
	uint64_t asked_ms; /* for a loan that has not come yet; 0: none */
};

struct told_endpoint {
	char id[ENDPOINT_ID_SIZE];
	uint64_t born_ms; /* of the start that is spoken of; 0: any */
	uint64_t at_ms;
};

/* Endpoints that datagrams speak of for a while. */
struct told {
	struct told_endpoint list[TOLD_MAX];
	size_t n;
};

/* A prompt that was read here, of which datagrams tell. */
struct told_prompt {
	uint64_t session;
	uint64_t endpoint;
	unsigned int sends_left;
};

/* What is told of a suspected request. */
struct told_suspect {
	struct suspect_update news;
	unsigned int sends_left;
	uint64_t due_ms;
	bool to_all; /* not only to those who keep its records */
	uint64_t weakest_keeper; /* least weight of these */
};

struct peers {
	struct proxyd *proxyd;
	uv_udp_t udp;
	TAILQ_HEAD(peer_list, peer) list;
	size_t n;
	uint64_t told_ms;
	uint64_t urgent_ms; /* a datagram is due then; 0: none */
	uint64_t work_ms; /* a datagram on changed work is due; 0: none */
	uint64_t reader_told_ms; /* that this one is to read; 0: it is not */
	struct told lost;
	struct told found;
	struct told leaving;
	struct told_prompt prompts[PROMPTS_KEPT];
	size_t prompt_next; /* the oldest */
	struct told_suspect suspects[SUSPECTS_KEPT];
	size_t suspect_next; /* the oldest */
	struct counter *sent;
	struct counter *heard;
};

uint32_t peers_own_capacity(const struct peers *t);
struct peer *peers_find(const struct peers *t, const char *name);
struct peer *peers_find_hash(const struct peers *t, uint64_t hash);
uint64_t peers_name_hash(const char *name);
void peers_send(struct peers *t, const struct peer *to, const PeerDatagram *d);
void peers_tell_reader(struct peers *t);
void peers_tell_changed_work(struct peers *t);
void peers_tell_suspects(struct peers *t);
void peers_take_suspects(struct peers *t, const PeerSuspects *said);
void peers_lend(struct peers *t, const PeerBorrow *borrow);
void peers_take_loan(struct peers *t, const PeerLoan *loan);

#endif /* PROXYD_PEERS_TABLE_H */
