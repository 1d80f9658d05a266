#ifndef POLICY_LEASE_H
#define POLICY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_DURATION_MS 9000
#define LEASE_MARGIN_MS 1500 /* clock rate, flight of an order */
#define LEASE_RENEW_MS 3000 /* after the start of the last good write */
#define LEASE_READ_MS 3000 /* between reads by those who wait */
#define LEASE_RETRY_MS 500 /* after a failed read or write */

/* The row of the platform's table. */
struct lease_row {
	uint64_t version; /* given by the table; 0: no such row */
	uint64_t holder; /* instance id; 0: released */
	uint64_t fencing; /* grows with each change of holder */
	uint64_t nonce; /* of the write that left the row so */
	uint32_t duration_ms; /* granted to the holder */
};

enum lease_state {
	LEASE_UNKNOWN, /* row not read yet */
	LEASE_OTHERS, /* another holds it, or may */
	LEASE_HELD, /* ours by our own clock, when last looked at */
};

enum lease_action {
	LEASE_NOTHING,
	LEASE_READ, /* read the row, then call lease_read() */
	LEASE_WRITE, /* write, then call lease_written() */
};

enum lease_result {
	LEASE_WRITTEN,
	LEASE_CONFLICT, /* the row's version was another */
	LEASE_NO_ANSWER, /* may have taken effect */
	LEASE_FAILED, /* surely without effect */
};

enum lease_verdict {
	LEASE_ORDER, /* send it now, with the fencing number */
	LEASE_WAIT, /* ours, but the old holder isn't waited out */
	LEASE_REFUSE, /* not ours, or not for long enough */
};

/* Put `row` in place if the row's version is still `if_version`. */
struct lease_write {
	uint64_t if_version;
	struct lease_row row;
};

struct lease {
	enum lease_state state;
	uint64_t self;
	bool wanted; /* acquire it when it is free */
	bool read_due; /* the row must be read before the next write */
	bool busy; /* an action was given out and not yet answered */
	bool releasing; /* no more orders; the row is to be released */
	struct lease_row row; /* as last read or written */
	uint64_t seen_at; /* when `row.version` was first read */
	uint64_t valid_until; /* HELD: by our own clock */
	uint64_t unfenced_from; /* orders to endpoints without fencing */
	uint64_t next_at; /* nothing to do before */
	bool pending; /* a write may have taken effect */
	uint64_t former_nonce; /* of our last write that is known good */
	struct lease_write write; /* the last write, kept while pending */
	unsigned int write_sends;
	uint64_t write_sent_at; /* when it was first sent */
};

void lease_init(struct lease *l, uint64_t self);
enum lease_action lease_step(struct lease *l, uint64_t now, uint64_t nonce,
			     struct lease_write *out);
void lease_read(struct lease *l, const struct lease_row *row, uint64_t now);
void lease_read_failed(struct lease *l, uint64_t now);
void lease_written(struct lease *l, enum lease_result result, uint64_t version,
		   uint64_t now);
bool lease_take_over(struct lease *l, uint64_t now, uint64_t nonce,
		     struct lease_write *out);
void lease_release(struct lease *l);
enum lease_verdict lease_check(const struct lease *l, uint64_t now,
			       bool endpoint_checks, uint32_t order_ms);
uint64_t lease_fencing(const struct lease *l);

#endif /* POLICY_LEASE_H */
