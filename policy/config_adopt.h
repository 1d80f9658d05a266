#ifndef POLICY_CONFIG_ADOPT_H
#define POLICY_CONFIG_ADOPT_H

#include <stdbool.h>
#include <stdint.h>

#define CONFIG_POLL_MS 8000 /* mean; jitter is +-25% */
#define CONFIG_POLL_FAILED_MAX_MS 32000 /* longest backoff */
#define CONFIG_FETCH_TIMEOUT_MS 1000 /* then the next source is tried */
#define CONFIG_FETCH_ATTEMPTS_MAX 4 /* then the head row overrides gossip */
#define CONFIG_STALE_MS 30000 /* since the last answer of the table */

enum config_source {
	CONFIG_FROM_TABLE,
	CONFIG_FROM_PEER,
};

enum config_action {
	CONFIG_NO_ACTION,
	CONFIG_POLL, /* read the head row */
	CONFIG_FETCH_PEER, /* request the body from `peer` */
	CONFIG_FETCH_TABLE, /* read the body from the platform */
};

enum config_outcome {
	CONFIG_ADOPTED, /* to be put in force now */
	CONFIG_OLD, /* not newer than the version in force; dropped */
	CONFIG_INVALID, /* failed validation; the version in force stays */
	CONFIG_DIFFERS, /* the version in force with a different digest */
};

enum config_freshness {
	CONFIG_NONE, /* nothing in force yet */
	CONFIG_CURRENT,
	CONFIG_BEHIND, /* a later version is known but not in force */
	CONFIG_PEERS_ONLY, /* the table doesn't answer, but peers do */
	CONFIG_STALE, /* neither answers; the last version is kept */
};

struct config_adopt {
	uint64_t version; /* in force; 0: none */
	uint64_t digest; /* of the body in force */
	uint64_t latest_known; /* highest version announced */
	uint64_t peer; /* instance that has `latest_known`; 0: none */
	uint64_t table_seen_ms; /* last good answer of the table */
	uint64_t peers_seen_ms; /* last message from a peer */
	uint64_t next_poll_ms;
	uint64_t next_fetch_ms; /* next attempt to fetch the body */
	uint64_t adopted_ms;
	uint64_t invalid_version; /* the table's body of it is invalid */
	unsigned int failed_polls; /* consecutive */
	unsigned int fetch_attempts; /* for `latest_known` */
	bool polling;
};

void config_adopt_init(struct config_adopt *a, uint64_t now);
enum config_action config_adopt_step(struct config_adopt *a, uint64_t now);
void config_adopt_peer_version(struct config_adopt *a, uint64_t version,
			       uint64_t peer, uint64_t now);
void config_adopt_polled(struct config_adopt *a, bool ok, uint64_t version,
			 uint64_t now, uint64_t rnd);
enum config_outcome config_adopt_body(struct config_adopt *a,
				      enum config_source source,
				      uint64_t version, uint64_t digest,
				      bool valid, uint64_t now);
void config_adopt_fetch_failed(struct config_adopt *a, uint64_t now);
enum config_freshness config_adopt_freshness(const struct config_adopt *a,
					     uint64_t now);

/* An operator's commit of version `base` + 1 on top of `base`. */
enum config_commit_state {
	CONFIG_COMMIT_WRITE, /* send the transaction (again) */
	CONFIG_COMMIT_READ, /* read the row of version `base` + 1 */
	CONFIG_COMMIT_WON,
	CONFIG_COMMIT_LOST, /* `winner` holds the row that is there instead */
};

enum config_commit_result {
	CONFIG_COMMIT_OK,
	CONFIG_COMMIT_CONFLICT,
	CONFIG_COMMIT_NO_ANSWER, /* may have taken effect */
	CONFIG_COMMIT_FAILED, /* certainly without effect */
};

/* The immutable row that is inserted with each version. */
struct config_version_row {
	uint64_t version; /* 0: no such row */
	uint64_t nonce; /* of the operator's command that wrote it */
	uint64_t digest;
};

struct config_commit {
	enum config_commit_state state;
	uint64_t base;
	uint64_t nonce; /* the same in all attempts */
	uint64_t digest;
	struct config_version_row winner; /* in CONFIG_COMMIT_LOST */
	unsigned int attempts;
};

void config_commit_init(struct config_commit *c, uint64_t base, uint64_t nonce,
			uint64_t digest);
void config_commit_answered(struct config_commit *c,
			    enum config_commit_result result);
void config_commit_read(struct config_commit *c,
			const struct config_version_row *row);

#endif /* POLICY_CONFIG_ADOPT_H */
