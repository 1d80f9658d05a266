#ifndef POLICY_MEMBER_H
#define POLICY_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MEMBER_MAX 2048 /* instances in one table */
#define MEMBER_PIGGYBACK_MAX 32 /* updates in one message */
#define MEMBER_INDIRECT_PEERS 3 /* helpers of an indirect probe */
#define MEMBER_RELAY_MAX 64 /* probes in progress for others */
#define MEMBER_OUT_MAX 12 /* messages from one call at most */
#define MEMBER_TICK_MS 100 /* how often member_tick() is to be called */
#define MEMBER_PERIOD_MS 1000 /* one probe a period */
#define MEMBER_ACK_TIMEOUT_MS 300 /* then the indirect probe starts */
#define MEMBER_SUSPECT_PERIODS 4 /* times log10 of the fleet's size */
#define MEMBER_LATE_MS 1000 /* a tick later than this was a pause */
#define MEMBER_RETRANSMIT 2 /* times log2 of the fleet's size */
#define MEMBER_RECONNECT_MS 2000 /* between probes of dead members */
#define MEMBER_BACKLOG_MS 1000 /* between extra pings while news waits */
#define MEMBER_HEALTH_MAX 4 /* local timeouts grow up to 1 + this */
#define MEMBER_ANNOUNCE_PEERS 4 /* told at once of what is new */
#define MEMBER_INCARNATION_MAX (1ull << 62)
#define MEMBER_FORGET_MS 600000 /* dead and unlisted for this long */

/* In order of precedence among updates of one incarnation. */
enum member_state {
	MEMBER_UNKNOWN, /* listed by the platform, never heard */
	MEMBER_ALIVE,
	MEMBER_LEAVING,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
};

enum member_msg_kind {
	MEMBER_PING,
	MEMBER_ACK,
	MEMBER_PING_REQ,
};

enum member_outcome {
	MEMBER_OK,
	MEMBER_NOT_FOR_US, /* addressed to another instance */
	MEMBER_MALFORMED, /* a field is out of range */
	MEMBER_TABLE_FULL,
};

/* Where an instance is found; an IPv4 address is mapped into IPv6. */
struct member_addr {
	uint8_t ip[16];
	uint16_t port; /* host byte order */
	uint16_t zone;
	uint16_t region;
};

struct member_update {
	uint64_t id;
	uint64_t incarnation;
	uint64_t config_version; /* in force there; 0: none */
	enum member_state state;
	struct member_addr addr;
};

struct member_msg {
	enum member_msg_kind kind;
	uint64_t seq; /* an answer repeats that of its question */
	uint64_t to;
	uint64_t target; /* PING_REQ: whom to probe; ACK: who answered */
	struct member_update from; /* the sender as it sees itself */
	unsigned int n_updates;
	struct member_update updates[MEMBER_PIGGYBACK_MAX];
};

/* A line of the platform's lagging instance list. */
struct member_listing {
	uint64_t id;
	struct member_addr addr;
	bool leaving;
};

struct member {
	struct member_update u;
	uint64_t since; /* of the present state, ms */
	uint64_t deadline; /* SUSPECT: when it is taken for dead, ms */
	uint64_t heard_at; /* last message from it itself, ms; 0: never */
	uint64_t unlisted_at; /* gone from the list since, ms */
	uint64_t news; /* order in which the updates were taken in */
	uint8_t sends_left; /* of its update */
	bool leaving; /* has said so; kept while it is suspect */
	bool listed;
	bool listed_leaving;
};

struct member_probe {
	bool active;
	bool indirect; /* helpers have been asked */
	uint64_t id;
	uint64_t seq;
	uint64_t started_at;
	uint64_t indirect_at;
	uint64_t deadline;
};

struct member_relay {
	uint64_t seq; /* of our own ping */
	uint64_t origin;
	uint64_t origin_seq;
};

/*
 * One instance's view of the fleet.  Members are sorted by id and include the
 * instance itself.
 */
struct member_table {
	uint64_t self;
	uint64_t next_seq;
	uint64_t last_tick;
	uint64_t next_period;
	uint64_t next_reconnect;
	uint64_t next_backlog;
	uint64_t serving_epoch; /* grows when the serving set has changed */
	uint64_t config_seen; /* highest version heard of */
	uint64_t config_seen_at; /* the id of a member that has it */
	unsigned int health; /* 0: sound; up to MEMBER_HEALTH_MAX */
	bool urgent; /* somebody is leaving: the next tick tells others */
	uint64_t n_news; /* updates taken in so far */
	unsigned int n_hot; /* members whose update is still being sent */
	unsigned int n_relays; /* ever; the slot is this modulo the size */
	uint64_t pauses; /* late ticks so far */
	uint64_t suspicions; /* that we have raised */
	uint64_t deaths; /* that we have declared by ourselves */
	uint64_t false_suspicions; /* of us, refuted */
	struct member_probe probe;
	struct member_relay relays[MEMBER_RELAY_MAX];
	size_t n;
	struct member members[MEMBER_MAX];
};

void member_init(struct member_table *t, const struct member_update *self,
		 uint64_t now);
size_t member_tick(struct member_table *t, uint64_t now, uint64_t rnd,
		   struct member_msg *out, size_t max);
enum member_outcome member_receive(struct member_table *t,
				   const struct member_msg *msg, uint64_t now,
				   struct member_msg *out, size_t max,
				   size_t *n_out);
enum member_outcome member_list(struct member_table *t,
				const struct member_listing *list, size_t n,
				uint64_t now);
enum member_outcome member_merge(struct member_table *t,
				 const struct member_update *u, uint64_t now);
size_t member_fill(const struct member_table *t, size_t *from,
		   struct member_update *out, size_t max);
size_t member_announce(struct member_table *t, uint64_t rnd,
		       struct member_msg *out, size_t max);
void member_set_config(struct member_table *t, uint64_t version);
void member_leave(struct member_table *t, enum member_state state,
		  uint64_t now);
const struct member *member_find(const struct member_table *t, uint64_t id);
bool member_serves(const struct member *m);
size_t member_count_serving(const struct member_table *t);
uint64_t member_suspect_ms(size_t n);
const char *member_state_name(enum member_state state);

#endif /* POLICY_MEMBER_H */
