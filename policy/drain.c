/*
 * Draining of endpoints and of this instance before a planned removal.
 *
 * A draining endpoint gets no new runs; its current runs continue, and move to
 * other endpoints shortly before the endpoint's deadline.  A draining instance
 * is first removed from the entries that callers look up, and keeps serving
 * while callers may still use cached entries.  It then refers new requests to
 * other instances, and hands over its remaining streams before it exits.
 */
#include <string.h>

#include "policy/drain.h"

static void enter_phase(struct drain *d, enum drain_phase phase, uint64_t now);
static uint64_t refusing_from(const struct drain *d);
static uint64_t handover_from(const struct drain *d);

/*
 * Marks an endpoint as leaving.  `deadline` is the time in ms at which the
 * platform removes it, 0 if unknown; the earliest of several deadlines is
 * kept.  Returns whether anything changed.
 */
bool drain_endpoint_leave(struct drain_endpoint *d, uint64_t now,
			  uint64_t deadline)
{
	bool earlier = deadline != 0 &&
		       (d->deadline == 0 || deadline < d->deadline);

	if (earlier)
		d->deadline = deadline;
	if (d->leaving)
		return earlier;
	d->leaving = true;
	d->since = now;
	return true;
}

/*
 * Cancels the leaving of an endpoint by an operator's order.  Returns whether
 * the endpoint was leaving.
 */
bool drain_endpoint_cancel(struct drain_endpoint *d)
{
	bool was_leaving = d->leaving;

	memset(d, 0, sizeof(*d));
	return was_leaving;
}

/*
 * Returns the phase of the endpoint at `now`.
 */
enum drain_endpoint_phase drain_endpoint_phase(const struct drain_endpoint *d,
					       uint64_t now)
{
	if (!d->leaving)
		return DRAIN_ENDPOINT_OPEN;
	if (d->deadline == 0)
		return DRAIN_ENDPOINT_FINISHING;
	if (now >= d->deadline)
		return DRAIN_ENDPOINT_GONE;
	if (now + DRAIN_ENDPOINT_MOVE_MS >= d->deadline)
		return DRAIN_ENDPOINT_MOVING;
	return DRAIN_ENDPOINT_FINISHING;
}

/*
 * Returns whether new runs may start at the endpoint.
 */
bool drain_endpoint_takes_work(const struct drain_endpoint *d)
{
	return !d->leaving;
}

/*
 * Initializes to DRAIN_SERVING.  The hand-over starts after handover_ms, but
 * not before all cached entries that name this instance have expired.
 */
void drain_init(struct drain *d, const struct drain_settings *settings)
{
	memset(d, 0, sizeof(*d));
	d->settings = *settings;
}

static void enter_phase(struct drain *d, enum drain_phase phase, uint64_t now)
{
	d->phase = phase;
	d->phase_since = now;
}

/*
 * Starts to drain this instance, which cannot be undone.  Later calls have no
 * effect.
 */
void drain_announce(struct drain *d, uint64_t now)
{
	if (d->phase != DRAIN_SERVING)
		return;
	d->announced_at = now;
	enter_phase(d, DRAIN_ANNOUNCED, now);
}

/*
 * Returns when all cached entries that name this instance have expired, after
 * which it refuses new requests.
 */
static uint64_t refusing_from(const struct drain *d)
{
	return d->announced_at + DRAIN_PROPAGATION_MS +
	       d->settings.entries_ttl_ms;
}

/* Returns the earliest time of the hand-over. */
static uint64_t handover_from(const struct drain *d)
{
	return d->announced_at + d->settings.handover_ms;
}

/*
 * Advances the phase as far as `now` and the number of `running` requests
 * allow, and returns it.
 */
enum drain_phase drain_step(struct drain *d, uint64_t now, unsigned int running)
{
	if (d->phase == DRAIN_ANNOUNCED && now >= refusing_from(d))
		enter_phase(d, DRAIN_REFUSING, now);
	if (d->phase == DRAIN_REFUSING && running > 0 &&
	    now >= handover_from(d))
		enter_phase(d, DRAIN_HANDING_OVER, now);
	if (d->phase == DRAIN_REFUSING && running == 0)
		enter_phase(d, DRAIN_EXIT, now);
	if (d->phase == DRAIN_HANDING_OVER &&
	    (running == 0 || now >= d->phase_since + d->settings.exit_ms))
		enter_phase(d, DRAIN_EXIT, now);
	return d->phase;
}

/*
 * Returns whether the entries given to callers include this instance.
 */
bool drain_in_entries(const struct drain *d)
{
	return d->phase == DRAIN_SERVING;
}

/*
 * Returns whether this instance accepts new requests.
 */
bool drain_accepts(const struct drain *d)
{
	return d->phase <= DRAIN_ANNOUNCED;
}

/*
 * Returns the time in ms at which drain_step() must next be called, UINT64_MAX
 * for never.
 */
uint64_t drain_next(const struct drain *d)
{
	switch (d->phase) {
	case DRAIN_ANNOUNCED:
		return refusing_from(d);
	case DRAIN_REFUSING:
		return handover_from(d);
	case DRAIN_HANDING_OVER:
		return d->phase_since + d->settings.exit_ms;
	case DRAIN_SERVING:
	case DRAIN_EXIT:
		break;
	}
	return UINT64_MAX;
}

/*
 * Returns the name of a phase for logs and status pages.
 */
const char *drain_phase_name(enum drain_phase phase)
{
	static const char *const names[] = {
		[DRAIN_SERVING] = "serving",
		[DRAIN_ANNOUNCED] = "announced",
		[DRAIN_REFUSING] = "refusing",
		[DRAIN_HANDING_OVER] = "handing over",
		[DRAIN_EXIT] = "exit",
	};

	if ((unsigned int)phase >= sizeof(names) / sizeof(names[0]))
		return "invalid";
	return names[phase];
}
