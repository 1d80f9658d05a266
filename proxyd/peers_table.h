#ifndef PROXYD_PEERS_TABLE_H
#define PROXYD_PEERS_TABLE_H

/* Internals of the table of instances, shared by peers.c and peers_*.c. */

#include <sys/queue.h>
#include <uv.h>

#include "lib/counters.h"
#include "policy/heartbeat.h"
#include "policy/store_reader.h"
#include "proto/peer.pb-c.h"
#include "proxyd/endpoints.h"
#include "proxyd/peers.h"
#include "proxyd/suspects.h"

#define LOADS_MAX 48 /* per datagram, which fits into one packet */
#define ANNOUNCED_MAX 8 /* endpoints lost, found or leaving, per datagram */
#define PROMPTS_MAX 16 /* prompt locations per datagram */
#define PROMPTS_QUEUED 64 /* prompt locations queued for sending */
#define PARTING_MAX 16 /* instances that stop and are not listed any more */
#define PATHS_MAX 8 /* services whose paths are told, per datagram */
#define WRITES_MAX 8 /* versions of own writes per datagram */
#define WRITES_QUEUED 32 /* of these, queued for sending */
#define SUSPECTS_QUEUED 128 /* updates on suspected requests queued */
#define SUSPECT_SENDS 3 /* of a list or update; datagrams may be lost */
#define SUSPECT_RESEND_MS 250 /* between these */
#define PARTS_QUEUED 32 /* crashed or sound runs whose parts are told */
#define ORIGINS_QUEUED 256 /* notes or questions; sent at once if full */
#define DATAGRAM_MAX_BYTES 2048

struct peer_load {
	uint64_t endpoint; /* hash of its id */
	struct handle added_to; /* endpoint with this load; may be invalid */
	struct endpoint_load load;
};

/* An instance's path to the endpoints of a service, as it last told. */
struct peer_path {
	uint64_t service; /* hash of its name */
	bool lost;
	uint64_t answered_ms; /* an endpoint answered it, local clock */
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
	struct heartbeat heartbeat;
	uint64_t missing_ms; /* its entry is missing from the copy that the
				store returned from, since then; 0: no */
	bool alive; /* result of the last check by peers_tick() */
	uint64_t start_unix_ms;
	uint64_t configuration; /* version in force there; 0: none */
	uint64_t named_ms; /* last datagram that names it */
	struct peer_load loads[LOADS_MAX];
	size_t n_loads;
	struct peer_path paths[PATHS_MAX];
	size_t n_paths;
	struct reader reader;
	uint64_t loan_asked_ms; /* time of the pending loan request; 0: none */
};

struct announced_endpoint {
	char id[ENDPOINT_ID_SIZE];
	uint64_t born_ms; /* start time of the endpoint process meant; 0: any */
	uint64_t added_ms;
};

/* Endpoints that are named in every pulse for ANNOUNCE_MS, oldest first. */
struct announced_endpoints {
	struct announced_endpoint list[ANNOUNCED_MAX];
	size_t n;
};

/* The endpoint that has prefilled a prompt, as sent to the others. */
struct announced_prompt {
	uint64_t session;
	uint64_t endpoint;
	unsigned int sends_left;
};

/* A change that this instance made in a table that is not followed, as sent to
 * the others. */
struct announced_write {
	uint64_t version;
	uint64_t era; /* of the store */
	unsigned int sends_left;
};

/* An instance that has removed its entry, as it stops.  It still relays what it has
 * accepted, and has to know which others live. */
struct parting_peer {
	struct sockaddr_in address;
	uint64_t until_ms; /* end of its grace time; 0: none */
};

/* The other instances that keep the records of a hash. */
struct record_keepers {
	bool all; /* every one; else the live ones of this weight or more */
	uint64_t least_weight;
};

/* The parts of a run that a crash cut off, or that are sound after all, as sent
 * to the others. */
struct announced_parts {
	uint64_t *parts;
	size_t n;
	struct run_crash crash; /* its id is 0: they are sound */
	unsigned int sends_left;
	uint64_t due_ms;
};

/* The version that began a stream, as sent to the keepers of its record, or a
 * question for it. */
struct announced_origin {
	uint64_t stream;
	uint64_t software; /* SOFTWARE_UNKNOWN: a question */
	const struct peer *to; /* alone; NULL: all keepers */
	struct record_keepers keepers;
};

/* An update on a suspected request, as sent to the others. */
struct announced_suspect {
	struct suspect_update update;
	unsigned int sends_left;
	uint64_t due_ms;
	struct record_keepers recipients;
};

struct peers {
	struct proxyd *proxyd;
	uv_udp_t udp;
	TAILQ_HEAD(peer_list, peer) list;
	size_t n;
	uint64_t accompanied_ms; /* another instance was last alive; 0: never */
	uint64_t last_pulse_ms;
	uint64_t pulse_due_ms; /* time of an early pulse; 0: none */
	uint64_t work_due_ms; /* time of a datagram on changed work; 0: none */
	uint64_t reader_sent_ms; /* last PeerReader sent; 0: not a reader */
	struct parting_peer parting[PARTING_MAX];
	size_t parting_next; /* the oldest */
	struct announced_endpoints lost;
	struct announced_endpoints found;
	struct announced_endpoints leaving;
	struct announced_prompt prompts[PROMPTS_QUEUED];
	size_t prompt_next; /* the oldest */
	struct announced_write writes[WRITES_QUEUED];
	size_t write_next; /* the oldest */
	struct announced_suspect suspects[SUSPECTS_QUEUED];
	size_t suspect_next; /* the oldest */
	struct announced_parts parts[PARTS_QUEUED];
	size_t parts_next; /* the oldest */
	struct announced_origin origins[ORIGINS_QUEUED];
	size_t n_origins;
	bool listed_before; /* an earlier process of this instance was */
	uint64_t version; /* of the list, and of which instances are alive */
	struct counter *sent;
	struct counter *received;
};

uint32_t peers_own_capacity(const struct peers *t);
struct peer *peers_find(const struct peers *t, const char *name);
struct peer *peers_find_hash(const struct peers *t, uint64_t hash);
uint64_t peers_name_hash(const char *name);
void peers_send(struct peers *t, const struct peer *to, const PeerDatagram *d);
void peers_send_all(struct peers *t, const PeerDatagram *d);
bool peer_path_lost(const struct peer *peer);
void peers_receive_paths(struct peers *t, struct peer *peer,
			 const PeerPulse *pulse);
size_t peers_gather_paths(const struct peers *t, PeerPath *paths);
void peers_receive_limits(struct peers *t, const PeerLimits *msg);
void peers_lend_permits(struct peers *t, const PeerPermitRequest *request);
void peers_receive_permits(struct peers *t, const PeerPermits *answer);
void peers_announce_reader(struct peers *t);
void peers_send_changed_work(struct peers *t);
void peers_send_suspects(struct peers *t);
void peers_receive_suspects(struct peers *t, const PeerSuspects *msg);
struct record_keepers peers_record_keepers(const struct peers *t,
					   uint64_t hash);
bool peer_keeps_record(const struct peer *peer, uint64_t hash,
		       const struct record_keepers *keepers);
void peers_send_due_parts(struct peers *t);
void peers_receive_parts(struct peers *t, const PeerParts *msg);
void peers_send_origins(struct peers *t);
void peers_receive_origins(struct peers *t, const PeerOrigins *msg);
void peers_lend(struct peers *t, const PeerBorrow *borrow);
void peers_receive_loan(struct peers *t, const PeerLoan *loan);

#endif /* PROXYD_PEERS_TABLE_H */
