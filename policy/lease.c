/*
 * Leases over one row of the platform's table.
 *
 * The row names the holder and a fencing number that grows with each change of
 * holder; every write is conditional on the row's version and carries a nonce,
 * so that a writer whose answer was lost reads the row back and knows whether
 * the write was its own.  No two clocks are compared: the holder counts its
 * lease from the moment at which it sent the write, a waiter counts the whole
 * duration from its own first reading of the row, both on monotonic clocks
 * that run on while the machine sleeps.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "policy/lease.h"

static enum lease_action write_out(struct lease *l, uint64_t now,
				   struct lease_write *out);
static void prepare(struct lease *l, uint64_t holder, uint64_t fencing,
		    uint64_t nonce);
static bool is_free(const struct lease *l, uint64_t now);
static bool is_own(const struct lease *l);
static uint64_t waited_out(const struct lease *l);
static void settle(struct lease *l, const struct lease_row *row, uint64_t now);
static void won(struct lease *l, uint64_t version, uint64_t now);

/*
 * Starts without knowledge of the row and without wanting the lease.  `self`
 * is the instance's id, not 0.
 */
void lease_init(struct lease *l, uint64_t self)
{
	assert(self != 0);
	memset(l, 0, sizeof(*l));
	l->self = self;
	l->read_due = true;
}

/*
 * Returns what to do now.  For LEASE_WRITE it fills in `out`.  After an action
 * the answer has to be told by lease_read(), lease_read_failed() or
 * lease_written() before there is another.  `nonce` is a fresh random number.
 */
enum lease_action lease_step(struct lease *l, uint64_t now, uint64_t nonce,
			     struct lease_write *out)
{
	if (l->state == LEASE_HELD && now >= l->valid_until)
		l->state = LEASE_OTHERS;
	if (l->busy || now < l->next_at)
		return LEASE_NOTHING;
	if (l->read_due) {
		l->busy = true;
		return LEASE_READ;
	}
	if (l->pending)
		return write_out(l, now, out);
	if (l->releasing && !is_own(l))
		l->releasing = false;
	if (l->releasing) {
		prepare(l, 0, l->row.fencing, nonce);
		return write_out(l, now, out);
	}
	if (!l->wanted)
		return LEASE_NOTHING;
	if (l->state == LEASE_HELD) {
		prepare(l, l->self, l->row.fencing, nonce);
		return write_out(l, now, out);
	}
	if (is_free(l, now)) {
		prepare(l, l->self, l->row.fencing + 1, nonce);
		return write_out(l, now, out);
	}
	l->busy = true;
	return LEASE_READ;
}

static void prepare(struct lease *l, uint64_t holder, uint64_t fencing,
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
 * Hands out the prepared write.  When it is sent again, its time remains that
 * of the first sending, from which the lease is counted.
 */
static enum lease_action write_out(struct lease *l, uint64_t now,
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
 * Tells whether the row is what this process wrote.  A row that only names
 * this instance may be a former process's, which may yet wake up.
 */
static bool is_own(const struct lease *l)
{
	return l->row.version != 0 && l->row.holder == l->self &&
	       l->row.nonce == l->former_nonce;
}

/* When the last known holder's lease has surely run out, by our clock. */
static uint64_t waited_out(const struct lease *l)
{
	if (l->row.version == 0 || l->row.holder == 0)
		return 0;
	return l->seen_at + l->row.duration_ms + LEASE_MARGIN_MS;
}

static bool is_free(const struct lease *l, uint64_t now)
{
	return is_own(l) || now >= waited_out(l);
}

/*
 * Tells that the row was read; a row that doesn't exist has version 0.  `now`
 * is the time after the reading.
 */
void lease_read(struct lease *l, const struct lease_row *row, uint64_t now)
{
	l->busy = false;
	l->read_due = false;
	l->next_at = now + LEASE_READ_MS;
	if (l->pending) {
		settle(l, row, now);
		return;
	}
	if (l->state == LEASE_UNKNOWN || row->version != l->row.version) {
		l->row = *row;
		l->seen_at = now;
	}
	l->state = LEASE_OTHERS;
	if (l->wanted && is_free(l, now))
		l->next_at = now;
	else if (l->wanted && waited_out(l) < l->next_at)
		l->next_at = waited_out(l);
}

/*
 * Settles a write whose answer was lost.  While the row is still the one that
 * the write was to replace, the write may yet take effect; the same write is
 * sent again, so that at most one of the two does and both mean the same.
 */
static void settle(struct lease *l, const struct lease_row *row, uint64_t now)
{
	if (row->nonce == l->write.row.nonce && row->version != 0) {
		won(l, row->version, now);
		return;
	}
	if (row->version == l->write.if_version) {
		l->next_at = now;
		return;
	}
	l->pending = false;
	l->releasing = false;
	l->row = *row;
	l->seen_at = now;
	l->state = LEASE_OTHERS;
}

/* Takes in that our write is in the row. */
static void won(struct lease *l, uint64_t version, uint64_t now)
{
	uint64_t until = l->write_sent_at + l->write.row.duration_ms;

	/* After a former lease of this process the old wait still counts. */
	if (l->row.holder != l->self || l->row.nonce != l->former_nonce)
		l->unfenced_from = waited_out(l);
	l->former_nonce = l->write.row.nonce;
	l->pending = false;
	l->row = l->write.row;
	l->row.version = version;
	l->seen_at = now;
	if (l->row.holder != l->self) {
		l->releasing = false;
		l->state = LEASE_OTHERS;
		l->next_at = now + LEASE_READ_MS;
		return;
	}
	l->valid_until = until - LEASE_MARGIN_MS;
	l->state = now < l->valid_until ? LEASE_HELD : LEASE_OTHERS;
	l->next_at = l->write_sent_at + LEASE_RENEW_MS;
}

/*
 * Tells that the row couldn't be read.
 */
void lease_read_failed(struct lease *l, uint64_t now)
{
	l->busy = false;
	l->read_due = true;
	l->next_at = now + LEASE_RETRY_MS;
}

/*
 * Tells how a write ended; `version` is that of the row after LEASE_WRITTEN.
 */
void lease_written(struct lease *l, enum lease_result result, uint64_t version,
		   uint64_t now)
{
	assert(l->busy && l->pending);
	l->busy = false;
	switch (result) {
	case LEASE_WRITTEN:
		won(l, version, now);
		return;
	case LEASE_FAILED:
		/* Nothing of it is under way if it was sent only once. */
		l->pending = l->write_sends > 1;
		l->next_at = now + LEASE_RETRY_MS;
		return;
	case LEASE_CONFLICT:
		/* An earlier sending of it may be what is in the way. */
		l->read_due = true;
		l->next_at = now;
		return;
	case LEASE_NO_ANSWER:
		l->read_due = true;
		l->next_at = now + LEASE_RETRY_MS;
		return;
	}
	abort();
}

/*
 * Takes the lease from whoever holds it, by an operator's order.  Fills in
 * `out`, which is to be written as if lease_step() had asked for it, and
 * returns true; returns false if the row isn't known or something is under
 * way.  Endpoints that don't check fencing numbers get orders only after the
 * former holder's lease has run out.
 */
bool lease_take_over(struct lease *l, uint64_t now, uint64_t nonce,
		     struct lease_write *out)
{
	if (l->busy || l->pending || l->state != LEASE_OTHERS)
		return false;
	l->wanted = true;
	prepare(l, l->self, l->row.fencing + 1, nonce);
	write_out(l, now, out);
	return true;
}

/*
 * Gives the lease up.  There must be no order under way, since the next holder
 * doesn't wait; lease_check() allows none from here on.
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
 * Decides whether an order may be sent at `now` that has taken effect or
 * failed within `order_ms`.  To be asked just before each order, with the
 * clock just read.  `endpoint_checks` tells whether the endpoint refuses old
 * fencing numbers.
 */
enum lease_verdict lease_check(const struct lease *l, uint64_t now,
			       bool endpoint_checks, uint32_t order_ms)
{
	if (l->state != LEASE_HELD || l->releasing)
		return LEASE_REFUSE;
	if (now + order_ms >= l->valid_until)
		return LEASE_REFUSE;
	if (!endpoint_checks && now < l->unfenced_from)
		return LEASE_WAIT;
	return LEASE_ORDER;
}

/*
 * Returns the fencing number that goes with each order.
 */
uint64_t lease_fencing(const struct lease *l)
{
	return l->row.fencing;
}
