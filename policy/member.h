#ifndef POLICY_MEMBER_H
#define POLICY_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MEMBER_MAX 2048 /* instances in one table */
#define MEMBER_PIGGYBACK_MAX 32 /* updates in one message */
#define MEMBER_INDIRECT_PEERS 3 /* relays of an indirect probe */
#define MEMBER_RELAY_MAX 64 /* indirect probes in progress for others */
#define MEMBER_OUT_MAX 12 /* messages that one call may write */
#define MEMBER_TICK_MS 100 /* interval of member_tick() */
#define MEMBER_PERIOD_MS 1000 /* between probes */
#define MEMBER_ACK_TIMEOUT_MS 300 /* then the indirect probe starts */
#define MEMBER_SUSPECT_FACTOR 4 /* times log10(fleet size) periods */
#define MEMBER_PAUSE_MS 1000 /* a longer gap between ticks is a pause */
#define MEMBER_RETRANSMIT_FACTOR 2 /* times log2(fleet size) */
#define MEMBER_RECONNECT_MS 2000 /* between probes of dead members */
#define MEMBER_BACKLOG_PING_MS 1000 /* between extra pings while updates wait */
#define MEMBER_HEALTH_MAX 4 /* timeouts are multiplied by 1 + health */
#define MEMBER_ANNOUNCE_PEERS 4 /* pinged at once with an urgent update */
#define MEMBER_INCARNATION_MAX (1ull << 62)
#define MEMBER_FORGET_MS 600000 /* a dead, unlisted member is kept for this */

/* In order of precedence among updates of one incarnation. */
enum member_state {
	MEMBER_UNKNOWN, /* listed by the platform, no message received */
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

/* Address and location of an instance; IPv4 is mapped into IPv6. */
struct member_addr {
	uint8_t ip[16];
	uint16_t port; /* host byte order */
	uint16_t zone;
	uint16_t region;
};

struct member_update {
	uint64_t id;
	uint64_t incarnation;
	uint64_t config_version; /* in force on that instance; 0: none */
	enum member_state state;
	struct member_addr addr;
};

struct member_msg {
	enum member_msg_kind kind;
	uint64_t seq; /* an ACK repeats that of its ping */
	uint64_t to;
	uint64_t target; /* member to probe (PING_REQ) or answering (ACK) */
	struct member_update from; /* the sender's update about itself */
	unsigned int n_updates;
	struct member_update updates[MEMBER_PIGGYBACK_MAX];
};

/* An entry of the platform's instance list, which lags. */
struct member_listing {
	uint64_t id;
	struct member_addr addr;
	bool leaving;
};

struct member {
	struct member_update u;
	uint64_t state_since_ms; /* start of the current state */
	uint64_t suspect_deadline_ms; /* SUSPECT: declared dead then */
	uint64_t last_seen_ms; /* last message sent by it; 0: never */
	uint64_t unlisted_since_ms; /* 0: listed */
	uint64_t update_order; /* n_updates when its update was queued */
	uint8_t sends_left; /* how often its update is still to be sent */
	bool leaving; /* announced by it; kept while it is suspect */
	bool listed;
	bool listed_leaving;
};

struct member_probe {
	bool active;
	bool indirect; /* relays have been asked */
	uint64_t id;
	uint64_t seq;
	uint64_t started_ms;
	uint64_t indirect_ms;
	uint64_t deadline_ms;
};

struct member_relay {
	uint64_t seq; /* of the ping to the target; 0: free */
	uint64_t origin; /* id of the instance that sent the PING_REQ */
	uint64_t origin_seq;
};

/*
 * One instance's view of the fleet.  Members are sorted by id and include the
 * instance itself.
 */
struct member_table {
	uint64_t self;
	uint64_t next_seq;
	uint64_t last_tick_ms;
	uint64_t next_period_ms;
	uint64_t next_reconnect_ms;
	uint64_t next_backlog_ping_ms;
	uint64_t serving_epoch; /* incremented if the serving set may differ */
	uint64_t latest_config; /* highest configuration version announced */
	uint64_t latest_config_holder; /* id of a member that has it */
	unsigned int health; /* score, 0 (healthy) to MEMBER_HEALTH_MAX */
	bool urgent; /* a member is leaving: the next tick announces it */
	uint64_t n_updates; /* queued so far */
	unsigned int n_pending; /* members with sends_left > 0 */
	unsigned int n_relays; /* in total; modulo the size: next slot */
	uint64_t pauses; /* of this instance, so far */
	uint64_t suspicions; /* raised by this instance */
	uint64_t deaths; /* declared by this instance */
	uint64_t false_suspicions; /* of this instance, refuted */
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
size_t member_copy_updates(const struct member_table *t, size_t *from,
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
