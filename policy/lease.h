#ifndef POLICY_LEASE_H
#define POLICY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_DURATION_MS 9000
#define LEASE_MARGIN_MS 1500 /* for clock drift and orders in flight */
/* From the sending of the last successful write to the next renewal. */
#define LEASE_RENEW_INTERVAL_MS 3000
#define LEASE_READ_INTERVAL_MS 3000 /* while waiting for the lease */
#define LEASE_RETRY_DELAY_MS 500 /* after a failed read or write */

/* A lease's row in the platform's table. */
struct lease_row {
	uint64_t version; /* assigned by the table; 0: no such row */
	uint64_t holder; /* instance id; 0: released */
	uint64_t fencing; /* incremented with each change of holder */
	uint64_t nonce; /* of the last write */
	uint32_t duration_ms; /* from the holder's last write */
};

enum lease_state {
	LEASE_UNKNOWN, /* row not read yet */
	LEASE_NOT_HELD, /* another instance holds it, or may hold it */
	LEASE_HELD, /* held by this process, as of the last step */
};

enum lease_action {
	LEASE_NOTHING,
	LEASE_READ, /* read the row, then call lease_read() */
	LEASE_WRITE, /* write, then call lease_written() */
};

enum lease_result {
	LEASE_WRITTEN,
	LEASE_CONFLICT, /* the row has another version */
	LEASE_NO_ANSWER, /* may have taken effect */
	LEASE_FAILED, /* took no effect */
};

enum lease_decision {
	LEASE_SEND, /* send the order now, with the fencing number */
	LEASE_WAIT, /* held, but the former lease may not have expired */
	LEASE_REFUSE, /* not held, or expires too soon */
};

/* A conditional write: set `row` if its version is still `if_version`. */
struct lease_write {
	uint64_t if_version;
	struct lease_row row;
};

struct lease {
	enum lease_state state;
	uint64_t self;
	bool wanted; /* acquire the lease when it is free */
	bool read_due; /* read the row before the next write */
	bool busy; /* a read or write is in progress */
	bool releasing; /* send no orders; release the row */
	struct lease_row row; /* as last read or written */
	uint64_t first_read_at; /* when `row.version` was first read */
	uint64_t valid_until; /* HELD: expiry by the local clock, ms */
	/* When orders to endpoints that don't check fencing may start. */
	uint64_t unfenced_from;
	uint64_t next_at; /* time of the next action */
	bool pending; /* a write may have taken effect */
	/* Nonce of the last write that is known to have succeeded. */
	uint64_t confirmed_nonce;
	struct lease_write write; /* the last write, for resending it */
	unsigned int write_sends;
	uint64_t write_sent_at; /* when `write` was first sent */
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
enum lease_decision lease_check(const struct lease *l, uint64_t now,
				bool endpoint_checks, uint32_t order_ms);
uint64_t lease_fencing(const struct lease *l);

#endif /* POLICY_LEASE_H */
