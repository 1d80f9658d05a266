/*
 * Orders to engines.  The holder of a service's lease orders each of the
 * service's engines to load the configured model.  The order is idempotent, so
 * it is also sent to engines that ignore fencing numbers, once the previous
 * holder's lease and orders have expired.
 */
#include "fleetd/orders.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleetd/endpoints.h"
#include "fleetd/leases.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define ORDER_TIMEOUT_MS 1000 /* longest time that an order is in flight */
#define ORDER_RETRY_DELAY_MS 3000 /* after a failed order */
#define ORDER_REPEAT_INTERVAL_MS 60000 /* covers an undetected engine restart */
#define ORDERS_OUTSTANDING_MAX 8 /* in flight at the same time */

struct orders {
	size_t outstanding;
};

/* One order in flight. */
struct order {
	struct fleetd *f;
	uint64_t id; /* of the endpoint */
	uint64_t fence; /* fencing number */
	uint64_t salt; /* of the engine's start, as known when sent */
	char *service;
	bool checks_fencing; /* the engine checks fencing numbers */
	int status;
};

static struct counter orders_sent = {
	.name = "cdmfleetd_orders_sent",
	.help = "Orders sent to engines.",
};
static struct counter orders_withheld = {
	.name = "cdmfleetd_orders_withheld",
	.help = "Orders not sent because the lease did not hold any more.",
};
static struct counter orders_refused = {
	.name = "cdmfleetd_orders_refused",
	.help = "Orders that an engine refused for their fencing number.",
};

static const struct lease **held_leases(const struct fleetd *f);
static bool order_due(const struct fleetd *f, const struct endpoint *e,
		      const struct lease *l, uint64_t now);
static void order_start(struct fleetd *f, struct endpoint *e);
static bool on_connected(void *arg);
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_end(void *arg, enum httpc_outcome outcome);

/* Returns a state with no orders in flight. */
struct orders *orders_new(void)
{
	counter_register(&orders_sent);
	counter_register(&orders_withheld);
	counter_register(&orders_refused);
	return xcalloc(1, sizeof(struct orders));
}

void orders_free(struct orders *o)
{
	free(o);
}

/* Returns the number of orders in flight. */
size_t orders_outstanding(const struct fleetd *f)
{
	return f->orders->outstanding;
}

/* Starts the orders that are due. */
void orders_tick(struct fleetd *f, uint64_t now)
{
	const struct lease **held;
	struct endpoint *e;
	size_t i;

	if (f->leaving || !leases_any_held(f))
		return;
	held = held_leases(f);
	for (i = 0; i < f->endpoints->n; i++) {
		e = &f->endpoints->all[i];
		if (f->orders->outstanding >= ORDERS_OUTSTANDING_MAX)
			break;
		if (held[e->service] && order_due(f, e, held[e->service], now))
			order_start(f, e);
	}
	free(held);
}

/* Returns an array indexed by service with the leases that this instance holds,
 * NULL for the other services.  The caller frees the array. */
static const struct lease **held_leases(const struct fleetd *f)
{
	const struct config *c = f->config;
	size_t size = sizeof(struct lease *);
	const struct lease **held = xcalloc(c->n_services, size);
	const struct lease *l;
	size_t i;

	for (i = 0; i < c->n_services; i++) {
		l = leases_find(f, c->services[i].name);
		if (l && l->state == LEASE_HELD)
			held[i] = l;
	}
	return held;
}

/* Returns true if an order may be sent to the engine and the engine has not
 * acknowledged one under this lease since its last start, or not within
 * ORDER_REPEAT_INTERVAL_MS. */
static bool order_due(const struct fleetd *f, const struct endpoint *e,
		      const struct lease *l, uint64_t now)
{
	const struct config_endpoint *ce = &f->config->endpoints[e->index];

	if (!e->up || e->order_pending || now < e->next_order_ms)
		return false;
	if (e->order_fence == lease_fencing(l) && e->order_salt == e->salt &&
	    now < e->next_order_ms + ORDER_REPEAT_INTERVAL_MS)
		return false;
	return leases_check(f, ce->service, ce->checks_fencing,
			    ORDER_TIMEOUT_MS) == LEASE_SEND;
}

/* Connects to the engine; on_connected() checks the lease again before the
 * order is sent. */
static void order_start(struct fleetd *f, struct endpoint *e)
{
	static const struct httpc_ops ops = {
		.on_connected = on_connected,
		.on_head = on_head,
		.on_end = on_end,
	};
	const struct config_endpoint *ce = &f->config->endpoints[e->index];
	const struct config_service *service =
		config_service_by_name(f->config, ce->service);
	const struct lease *l = leases_find(f, ce->service);
	struct order *o = xcalloc(1, sizeof(*o));
	struct httpc_request request = {
		.method = "POST",
		.address = ce->address,
		.path = "/v1/orders",
		.connect_timeout_ms = ORDER_TIMEOUT_MS / 2,
		.timeout_ms = ORDER_TIMEOUT_MS / 2,
	};
	json_t *body;
	char *text;

	o->f = f;
	o->id = e->id;
	o->fence = lease_fencing(l);
	o->salt = e->salt;
	o->service = xstrdup(ce->service);
	o->checks_fencing = ce->checks_fencing;
	body = json_pack("{s:I, s:s, s:s}", "fence", (json_int_t)o->fence,
			 "order", "load-model", "model", service->model);
	text = json_dumps(body, JSON_COMPACT);
	request.body = text;
	request.body_len = strlen(text);
	e->order_pending = true;
	f->orders->outstanding++;
	httpc_start(f->client, &request, &ops, o);
	free(text);
	json_decref(body);
}

/* Checks the lease again just before the order is sent, because the process may
 * have been paused.  Returns false to withhold the order. */
static bool on_connected(void *arg)
{
	struct order *o = arg;
	const struct lease *l = leases_find(o->f, o->service);

	if (l && lease_fencing(l) == o->fence &&
	    leases_check(o->f, o->service, o->checks_fencing,
			 ORDER_TIMEOUT_MS / 2) == LEASE_SEND) {
		counter_add(&orders_sent, 1);
		return true;
	}
	counter_add(&orders_withheld, 1);
	return false;
}

/* Records the response's status. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct order *o = arg;

	(void)headers;
	(void)n;
	o->status = status;
}

/* Records an accepted order or schedules a retry.  Status 409 means that the
 * engine has accepted a higher fencing number. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct order *o = arg;
	struct endpoint *e = endpoints_find(o->f->endpoints, o->id);

	o->f->orders->outstanding--;
	if (!e)
		goto out;
	e->order_pending = false;
	e->next_order_ms = fleetd_now(o->f);
	if (outcome == HTTPC_OK && o->status == 200) {
		e->order_fence = o->fence;
		e->order_salt = o->salt;
		goto out;
	}
	e->next_order_ms += ORDER_RETRY_DELAY_MS;
	if (outcome != HTTPC_OK || o->status != 409)
		goto out;
	counter_add(&orders_refused, 1);
	log_msg(LOG_WARNING, "order-refused", NULL,
		"an engine of service %s refused an order: it has accepted a "
		"fencing number above %" PRIu64,
		o->service, o->fence);
out:
	free(o->service);
	free(o);
}
