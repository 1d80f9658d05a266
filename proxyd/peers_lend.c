/*
 * Loans of unused repeats between instances, requested and granted by
 * datagrams.  A datagram may be lost, delayed or duplicated.
 */
#include "proxyd/peers_table.h"

#include "lib/event_log.h"
#include "proxyd/exchange.h"
#include "proxyd/proxyd.h"

/* An instance asks several others at a time, each for a part of what it needs,
 * because some have no repeats left. */
#define LENDERS_ASKED 4
#define LENDERS_EXPECTED 2 /* assumed to grant their part */

static void request_loan(struct peers *t, struct peer *peer, uint64_t service,
			 uint32_t repeats);

/* Asks up to LENDERS_ASKED live instances, from a random start in the list, for
 * repeats to a service. */
void peers_borrow(struct peers *t, const char *service, uint32_t repeats)
{
	uint64_t hash = endpoints_service_hash(t->proxyd->endpoints, service);
	size_t skip = t->n ? proxyd_random() % t->n : 0;
	uint32_t part = (repeats + LENDERS_EXPECTED - 1) / LENDERS_EXPECTED;
	struct peer *peer = TAILQ_FIRST(&t->list);
	size_t asked = 0;
	size_t i;

	for (i = 0; i < skip; i++)
		peer = TAILQ_NEXT(peer, link);
	for (i = 0; i < t->n && asked < LENDERS_ASKED; i++) {
		if (peer->alive) {
			request_loan(t, peer, hash, part);
			asked++;
		}
		peer = TAILQ_NEXT(peer, link);
		if (!peer)
			peer = TAILQ_FIRST(&t->list);
	}
}

/* Asks one instance for a loan; an earlier request to it becomes void. */
static void request_loan(struct peers *t, struct peer *peer, uint64_t service,
			 uint32_t repeats)
{
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerBorrow borrow = PEER_BORROW__INIT;

	peer->loan_asked_ms = proxyd_now(t->proxyd);
	borrow.instance = t->proxyd->settings.name;
	borrow.service = service;
	borrow.repeats = repeats;
	borrow.asked_ms = peer->loan_asked_ms;
	borrow.born = t->proxyd->start_unix_ms;
	d.borrow = &borrow;
	peers_send(t, peer, &d);
}

/* Grants another instance as many of the requested repeats as this one can
 * spare. */
void peers_lend(struct peers *t, const PeerBorrow *borrow)
{
	struct proxyd *p = t->proxyd;
	struct peer *peer = peers_find(t, borrow->instance);
	struct repeat_budget *budget =
		endpoints_budget_by_hash(p->endpoints, borrow->service);
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerLoan loan = PEER_LOAN__INIT;

	if (!peer || !budget)
		return;
	loan.repeats = repeat_lend(budget, &p->repeat, &p->repeat_group,
				   borrow->repeats, proxyd_now(p));
	event_log(EVENT_ROUTINE, "repeats-lent", NULL, "{s:s, s:i, s:i}", "to",
		  peer->name, "wanted", (int)borrow->repeats, "lent",
		  (int)loan.repeats);
	if (!loan.repeats)
		return;
	counter_add(p->exchanges->repeats_lent, loan.repeats);
	loan.instance = p->settings.name;
	loan.born = borrow->born;
	loan.service = borrow->service;
	loan.asked_ms = borrow->asked_ms;
	d.loan = &loan;
	peers_send(t, peer, &d);
}

/* Adds a loan that this process asked for; a duplicate is ignored. */
void peers_receive_loan(struct peers *t, const PeerLoan *loan)
{
	struct proxyd *p = t->proxyd;
	struct peer *peer = peers_find(t, loan->instance);
	struct repeat_budget *budget =
		endpoints_budget_by_hash(p->endpoints, loan->service);

	if (!peer || !budget || !peer->loan_asked_ms ||
	    loan->asked_ms != peer->loan_asked_ms ||
	    loan->born != p->start_unix_ms)
		return;
	peer->loan_asked_ms = 0;
	repeat_add_loan(budget, &p->repeat, loan->repeats, loan->asked_ms,
			proxyd_now(p));
	event_log(EVENT_ROUTINE, "repeats-borrowed", NULL, "{s:s, s:i, s:I}",
		  "from", peer->name, "repeats", (int)loan->repeats,
		  "asked_ms_ago", (json_int_t)(proxyd_now(p) - loan->asked_ms));
}
