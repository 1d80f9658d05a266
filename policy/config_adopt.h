#ifndef POLICY_CONFIG_ADOPT_H
#define POLICY_CONFIG_ADOPT_H

#include <stdbool.h>
#include <stdint.h>

#define CONFIG_POLL_MS 8000 /* mean; the jitter is a quarter either way */
#define CONFIG_POLL_FAILED_MAX_MS 32000 /* longest wait after failures */
#define CONFIG_FETCH_TIMEOUT_MS 1000 /* then another source is asked */
#define CONFIG_FETCHES_MAX 4 /* then the head row's word goes before gossip */
#define CONFIG_STALE_MS 30000 /* without word from the table */

enum config_source {
	CONFIG_FROM_TABLE,
	CONFIG_FROM_PEER,
};

enum config_action {
	CONFIG_NOTHING,
	CONFIG_POLL, /* read the head row */
	CONFIG_FETCH_PEER, /* ask `peer` for the body of `known` */
	CONFIG_FETCH_TABLE, /* read the body of `known` from the platform */
};

enum config_outcome {
	CONFIG_ADOPTED, /* put it in force now */
	CONFIG_OLD, /* at most what is in force; dropped */
	CONFIG_INVALID, /* doesn't check; the version in force stays */
	CONFIG_DIFFERS, /* other content under the version in force */
};

enum config_standing {
	CONFIG_NONE, /* nothing in force yet */
	CONFIG_CURRENT,
	CONFIG_BEHIND, /* a later version is known, not yet in force */
	CONFIG_PEERS_ONLY, /* the table is silent, peers are heard */
	CONFIG_STALE, /* neither is heard; the last version is kept */
};

struct config_adopt {
	uint64_t version; /* in force; 0: none */
	uint64_t digest; /* of the body in force */
	uint64_t known; /* highest version heard of */
	uint64_t peer; /* an instance that has `known`; 0: nobody */
	uint64_t table_at; /* last good word from the table, ms */
	uint64_t peers_at; /* last word from a peer, ms */
	uint64_t poll_at; /* next poll, ms */
	uint64_t fetch_at; /* next attempt to fetch the body, ms */
	uint64_t adopted_at; /* ms */
	uint64_t bad_version; /* whose body was invalid */
	unsigned int failures; /* polls failed in a row */
	unsigned int fetches; /* attempts for `known` */
	bool polling;
};

void config_adopt_init(struct config_adopt *a, uint64_t now);
enum config_action config_adopt_step(struct config_adopt *a, uint64_t now);
void config_adopt_heard(struct config_adopt *a, uint64_t version, uint64_t peer,
			uint64_t now);
void config_adopt_polled(struct config_adopt *a, bool ok, uint64_t version,
			 uint64_t now, uint64_t rnd);
enum config_outcome config_adopt_body(struct config_adopt *a,
				      enum config_source source,
				      uint64_t version, uint64_t digest,
				      bool valid, uint64_t now);
void config_adopt_fetch_failed(struct config_adopt *a, uint64_t now);
enum config_standing config_adopt_standing(const struct config_adopt *a,
					   uint64_t now);

/* An operator's commit: version `base` is to be followed by `base` + 1. */
enum config_commit_state {
	CONFIG_COMMIT_WRITE, /* send the transaction (again) */
	CONFIG_COMMIT_READ, /* read the row of version `base` + 1 */
	CONFIG_COMMIT_WON,
	CONFIG_COMMIT_LOST, /* `winner` holds what was put there */
};

enum config_commit_result {
	CONFIG_COMMIT_OK,
	CONFIG_COMMIT_CONFLICT,
	CONFIG_COMMIT_NO_ANSWER, /* may have taken effect */
	CONFIG_COMMIT_FAILED, /* surely without effect */
};

/* The row that each version leaves, inserted with it and never changed. */
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
	struct config_version_row winner; /* LOST */
	unsigned int attempts;
};

void config_commit_init(struct config_commit *c, uint64_t base, uint64_t nonce,
			uint64_t digest);
void config_commit_answered(struct config_commit *c,
			    enum config_commit_result result);
void config_commit_read(struct config_commit *c,
			const struct config_version_row *row);

#endif /* POLICY_CONFIG_ADOPT_H */
