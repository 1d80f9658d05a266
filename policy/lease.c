/*
 * A lease, stored in one row of the platform's table.
 *
 * The row holds the instance that owns the lease and a fencing number that is
 * incremented with each change of holder.  Every write is conditional on the
 * row's version and carries a nonce; if the answer is lost, the writer reads
 * the row back and recognizes its own write by the nonce.  Clocks of different
 * machines are never compared: the holder counts the duration from the time at
 * which it sent the write, a waiting instance counts it from its own first read
 * of that version.  Both use monotonic clocks that include time in which the
 * machine is suspended.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "policy/lease.h"

static enum lease_action submit_write(struct lease *l, uint64_t now,
				      struct lease_write *out);
static void prepare_write(struct lease *l, uint64_t holder, uint64_t fencing,
			  uint64_t nonce);
static bool is_free(const struct lease *l, uint64_t now);
static bool is_own(const struct lease *l);
static uint64_t holder_expiry(const struct lease *l);
static void resolve_pending(struct lease *l, const struct lease_row *row,
			    uint64_t now);
static void confirm_write(struct lease *l, uint64_t version, uint64_t now);

/*
 * Initializes a lease that is not wanted and whose row is not read yet.
 * `self` is the instance's id, not 0.
 */
void lease_init(struct lease *l, uint64_t self)
{
	assert(self != 0);
	memset(l, 0, sizeof(*l));
	l->self = self;
	l->read_due = true;
}

/*
 * Returns the action to take now; for LEASE_WRITE it fills in `out`.  The
 * caller reports the result by lease_read(), lease_read_failed() or
 * lease_written(), until which no other action is returned.  `nonce` is a new
 * random number.
 */
enum lease_action lease_step(struct lease *l, uint64_t now, uint64_t nonce,
			     struct lease_write *out)
{
	if (l->state == LEASE_HELD && now >= l->valid_until)
		l->state = LEASE_NOT_HELD;
	if (l->busy || now < l->next_at)
		return LEASE_NOTHING;
	if (l->read_due) {
		l->busy = true;
		return LEASE_READ;
	}
	if (l->pending)
		return submit_write(l, now, out);
	if (l->releasing && !is_own(l))
		l->releasing = false;
	if (l->releasing) {
		prepare_write(l, 0, l->row.fencing, nonce);
		return submit_write(l, now, out);
	}
	if (!l->wanted)
		return LEASE_NOTHING;
	if (l->state == LEASE_HELD) {
		prepare_write(l, l->self, l->row.fencing, nonce);
		return submit_write(l, now, out);
	}
	if (is_free(l, now)) {
		prepare_write(l, l->self, l->row.fencing + 1, nonce);
		return submit_write(l, now, out);
	}
	l->busy = true;
	return LEASE_READ;
}

/* Sets up the next write of the row. */
static void prepare_write(struct lease *l, uint64_t holder, uint64_t fencing,
			  uint64_t nonce)
{
	l->write = (struct lease_write){
		.if_version = l->row.version,
		.row = {
			.holder = holder,
			.fencing = fencing,
			.nonce = nonce,
			.duration_ms = LEASE_DURATION_MS,
		},
	};
	l->write_sends = 0;
}

/*
 * Passes the prepared write to the caller.  A write that is sent again keeps
 * the time of its first sending, from which the lease's duration counts.
 */
static enum lease_action submit_write(struct lease *l, uint64_t now,
				      struct lease_write *out)
{
	if (l->write_sends++ == 0)
		l->write_sent_at = now;
	l->pending = true;
	l->busy = true;
	*out = l->write;
	return LEASE_WRITE;
}

/*
 * Returns whether this process wrote the row.  A row that only names this
 * instance may come from an earlier process of it, which may be paused.
 */
static bool is_own(const struct lease *l)
{
	return l->row.version != 0 && l->row.holder == l->self &&
	       l->row.nonce == l->confirmed_nonce;
}

/*
 * Returns when the last known holder's lease has expired for certain, by the
 * local clock.
 */
static uint64_t holder_expiry(const struct lease *l)
{
	if (l->row.version == 0 || l->row.holder == 0)
		return 0;
	return l->first_read_at + l->row.duration_ms + LEASE_MARGIN_MS;
}

/* Returns whether this process may acquire the lease. */
static bool is_free(const struct lease *l, uint64_t now)
{
	return is_own(l) || now >= holder_expiry(l);
}

/*
 * Processes the result of a read; a row that doesn't exist has version 0.
 * `now` is the time after the read.
 */
void lease_read(struct lease *l, const struct lease_row *row, uint64_t now)
{
	l->busy = false;
	l->read_due = false;
	l->next_at = now + LEASE_READ_INTERVAL_MS;
	if (l->pending) {
		resolve_pending(l, row, now);
		return;
	}
	if (l->state == LEASE_UNKNOWN || row->version != l->row.version) {
		l->row = *row;
		l->first_read_at = now;
	}
	l->state = LEASE_NOT_HELD;
	if (l->wanted && is_free(l, now))
		l->next_at = now;
	else if (l->wanted && holder_expiry(l) < l->next_at)
		l->next_at = holder_expiry(l);
}

/*
 * Determines the outcome of a write whose answer was lost.  While the row
 * still has the version that the write replaces, the write may take effect
 * later.  The same write is then sent again: at most one of the two takes
 * effect, and their contents are equal.
 */
static void resolve_pending(struct lease *l, const struct lease_row *row,
			    uint64_t now)
{
	if (row->nonce == l->write.row.nonce && row->version != 0) {
		confirm_write(l, row->version, now);
		return;
	}
	if (row->version == l->write.if_version) {
		l->next_at = now;
		return;
	}
	l->pending = false;
	l->releasing = false;
	l->row = *row;
	l->first_read_at = now;
	l->state = LEASE_NOT_HELD;
}

/* Updates the state after a write of this process has taken effect. */
static void confirm_write(struct lease *l, uint64_t version, uint64_t now)
{
	uint64_t until = l->write_sent_at + l->write.row.duration_ms;

	/* A lease that this process held before keeps its former wait. */
	if (l->row.holder != l->self || l->row.nonce != l->confirmed_nonce)
		l->unfenced_from = holder_expiry(l);
	l->confirmed_nonce = l->write.row.nonce;
	l->pending = false;
	l->row = l->write.row;
	l->row.version = version;
	l->first_read_at = now;
	if (l->row.holder != l->self) {
		l->releasing = false;
		l->state = LEASE_NOT_HELD;
		l->next_at = now + LEASE_READ_INTERVAL_MS;
		return;
	}
	l->valid_until = until - LEASE_MARGIN_MS;
	l->state = now < l->valid_until ? LEASE_HELD : LEASE_NOT_HELD;
	l->next_at = l->write_sent_at + LEASE_RENEW_INTERVAL_MS;
}

/*
 * Processes a failed read: retries it after LEASE_RETRY_DELAY_MS.
 */
void lease_read_failed(struct lease *l, uint64_t now)
{
	l->busy = false;
	l->read_due = true;
	l->next_at = now + LEASE_RETRY_DELAY_MS;
}

/*
 * Processes the result of a write; `version` is the row's new version after
 * LEASE_WRITTEN.
 */
void lease_written(struct lease *l, enum lease_result result, uint64_t version,
		   uint64_t now)
{
	assert(l->busy && l->pending);
	l->busy = false;
	switch (result) {
	case LEASE_WRITTEN:
		confirm_write(l, version, now);
		return;
	case LEASE_FAILED:
		/* If it was sent only once, it can't take effect later. */
		l->pending = l->write_sends > 1;
		l->next_at = now + LEASE_RETRY_DELAY_MS;
		return;
	case LEASE_CONFLICT:
		/* The conflict may be with an earlier sending of it. */
		l->read_due = true;
		l->next_at = now;
		return;
	case LEASE_NO_ANSWER:
		l->read_due = true;
		l->next_at = now + LEASE_RETRY_DELAY_MS;
		return;
	}
	abort();
}

/*
 * Takes the lease over from its holder, by an operator's order.  Fills in
 * `out`, which the caller writes as after LEASE_WRITE, and returns true.
 * Returns false if the row is unknown, the lease is held, or a read or write
 * is in progress.  Endpoints that don't check fencing numbers get orders only
 * after the former holder's lease has expired.
 */
bool lease_take_over(struct lease *l, uint64_t now, uint64_t nonce,
		     struct lease_write *out)
{
	if (l->busy || l->pending || l->state != LEASE_NOT_HELD)
		return false;
	l->wanted = true;
	prepare_write(l, l->self, l->row.fencing + 1, nonce);
	submit_write(l, now, out);
	return true;
}

/*
 * Releases the lease.  No order may be in flight, since the next holder
 * doesn't wait; from now on lease_check() refuses all orders.
 */
void lease_release(struct lease *l)
{
	l->wanted = false;
	if (l->state != LEASE_HELD && !l->pending)
		return;
	l->releasing = true;
	l->next_at = 0;
}

/*
 * Decides whether an order that takes effect or fails within `order_ms` may be
 * sent at `now`.  To be called immediately before each order, with the current
 * time.  `endpoint_checks` says whether the endpoint rejects old fencing
 * numbers.
 */
enum lease_decision lease_check(const struct lease *l, uint64_t now,
				bool endpoint_checks, uint32_t order_ms)
{
	if (l->state != LEASE_HELD || l->releasing)
		return LEASE_REFUSE;
	if (now + order_ms >= l->valid_until)
		return LEASE_REFUSE;
	if (!endpoint_checks && now < l->unfenced_from)
		return LEASE_WAIT;
	return LEASE_SEND;
}

/*
 * Returns the fencing number to send with each order.
 */
uint64_t lease_fencing(const struct lease *l)
{
	return l->row.fencing;
}
