/*
 * Experiments of the load tool: control requests to stand-ins at given times,
 * and the tokens that engines prefilled and decoded.  Engines are polled often,
 * since the counters of a crashed engine are lost.
 */
#include "emulator/experiment.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define READ_INTERVAL_MS 25
#define TIMEOUT_MS 1000

static void on_timer(uv_timer_t *timer);
static void send_action(struct experiment *x, struct experiment_action *a);
static void on_sent(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len);
static void read_engine(struct experiment *x, struct experiment_engine *e);
static void on_read(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len);
static double counter_value(const char *text, size_t len, const char *name);
static double counter_increase(double *last, double now);

/* Parses and adds "MS,ADDRESS,JSON"; false if malformed or the list is full. */
bool experiment_add_action(struct experiment *x, const char *spec)
{
	struct experiment_action *a = &x->actions[x->n_actions];
	const char *body;
	char *address;

	if (x->n_actions == EXPERIMENT_ACTIONS_MAX)
		return false;
	a->at_ms = strtod(spec, &address);
	if (address == spec || *address != ',')
		return false;
	body = strchr(++address, ',');
	if (!body)
		return false;
	a->address = xstrndup(address, (size_t)(body - address));
	a->body = xstrdup(body + 1);
	x->n_actions++;
	return true;
}

/* Adds an engine by its control address; false if the list is full. */
bool experiment_add_engine(struct experiment *x, const char *address)
{
	if (x->n_engines == EXPERIMENT_ENGINES_MAX)
		return false;
	x->engines[x->n_engines++].address = address;
	return true;
}

/* Starts the experiment; times of actions count from now. */
void experiment_start(struct experiment *x, uv_loop_t *loop,
		      struct httpc *client)
{
	x->loop = loop;
	x->client = client;
	x->start_ms = (double)uv_hrtime() / 1e6;
	uv_timer_init(loop, &x->timer);
	x->timer.data = x;
	uv_timer_start(&x->timer, on_timer, READ_INTERVAL_MS, READ_INTERVAL_MS);
	experiment_read_engines(x);
}

/* Reads the counters of all engines without a pending read. */
void experiment_read_engines(struct experiment *x)
{
	size_t i;

	for (i = 0; i < x->n_engines; i++)
		if (!x->engines[i].read_pending)
			read_engine(x, &x->engines[i]);
}

/* Returns whether a read is pending. */
bool experiment_read_pending(const struct experiment *x)
{
	size_t i;

	for (i = 0; i < x->n_engines; i++)
		if (x->engines[i].read_pending)
			return true;
	return false;
}

/* Ends an experiment; the counts stay readable. */
void experiment_close(struct experiment *x)
{
	size_t i;

	uv_close((uv_handle_t *)&x->timer, NULL);
	for (i = 0; i < x->n_actions; i++) {
		free(x->actions[i].address);
		free(x->actions[i].body);
	}
	x->n_actions = 0;
}

/* Returns the tokens prefilled since the start. */
double experiment_prefilled(const struct experiment *x)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < x->n_engines; i++)
		sum += x->engines[i].prefilled;
	return sum;
}

/* Returns the tokens decoded since the start. */
double experiment_decoded(const struct experiment *x)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < x->n_engines; i++)
		sum += x->engines[i].decoded;
	return sum;
}

/* Sends due actions and reads the engines. */
static void on_timer(uv_timer_t *timer)
{
	struct experiment *x = timer->data;
	double elapsed = (double)uv_hrtime() / 1e6 - x->start_ms;
	size_t i;

	for (i = 0; i < x->n_actions; i++)
		if (!x->actions[i].sent && x->actions[i].at_ms <= elapsed)
			send_action(x, &x->actions[i]);
	experiment_read_engines(x);
}

/* Sends one action; a stand-in that exits on it gives no answer. */
static void send_action(struct experiment *x, struct experiment_action *a)
{
	const struct httpc_request r = {
		.method = "POST",
		.address = a->address,
		.path = "/control",
		.body = a->body,
		.body_len = strlen(a->body),
		.timeout_ms = TIMEOUT_MS,
	};

	a->sent = true;
	httpc_fetch(x->client, &r, on_sent, a);
}

/* Ignores the answer to an action. */
static void on_sent(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len)
{
	(void)arg;
	(void)outcome;
	(void)status;
	(void)body;
	(void)len;
}

/* Requests the counters of one engine. */
static void read_engine(struct experiment *x, struct experiment_engine *e)
{
	const struct httpc_request r = {
		.method = "GET",
		.address = e->address,
		.path = "/counters",
		.timeout_ms = TIMEOUT_MS,
	};

	e->owner = x;
	e->read_pending = true;
	httpc_fetch(x->client, &r, on_read, e);
}

/* Adds an engine's work since the previous read. */
static void on_read(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len)
{
	struct experiment_engine *e = arg;
	double prefilled;
	double decoded;

	e->read_pending = false;
	if (outcome != HTTPC_OK || status != 200)
		return;
	prefilled = counter_increase(
		&e->last_prefilled,
		counter_value(body, len, "engine_prefilled_tokens_total "));
	decoded = counter_increase(
		&e->last_decoded,
		counter_value(body, len, "engine_decoded_tokens_total "));
	if (e->has_baseline) {
		e->prefilled += prefilled;
		e->decoded += decoded;
	}
	e->has_baseline = true;
}

/* Returns a counter's value in Prometheus text format, or 0. */
static double counter_value(const char *text, size_t len, const char *name)
{
	const char *found = memmem(text, len, name, strlen(name));

	while (found && found > text && found[-1] != '\n')
		found = memmem(found + 1, len - (size_t)(found + 1 - text),
			       name, strlen(name));
	return found ? strtod(found + strlen(name), NULL) : 0;
}

/* Returns the increase of a counter; a lower value means a restart from 0. */
static double counter_increase(double *last, double now)
{
	double growth = now >= *last ? now - *last : now;

	*last = now;
	return growth;
}
