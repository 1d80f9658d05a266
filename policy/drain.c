/*
 * Planned leaving, of endpoints and of this instance.
 *
 * An endpoint gets no new work from the moment at which its leaving is known;
 * what runs there goes on, and is moved shortly before the endpoint's
 * deadline.  A leaving instance first disappears from the answers that callers
 * get, serves on while an older answer may still be used, then sends new
 * requests elsewhere, and hands over what still runs before it exits.
 */
#include <string.h>

#include "policy/drain.h"

static void enter(struct drain *d, enum drain_phase phase, uint64_t now);
static uint64_t refuses_at(const struct drain *d);
static uint64_t hands_over_at(const struct drain *d);

/*
 * Notes that an endpoint is leaving; `deadline` is when the platform takes it
 * away, 0 if it doesn't say.  Of several deadlines the earliest counts.
 * Returns whether anything has changed.
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
 * Notes that an operator has taken the leaving back.  Returns whether it was
 * leaving.
 */
bool drain_endpoint_return(struct drain_endpoint *d)
{
	bool was_leaving = d->leaving;

	memset(d, 0, sizeof(*d));
	return was_leaving;
}

/*
 * Returns what may be done at the endpoint at `now`.
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
 * Tells whether new work may be started at the endpoint.
 */
bool drain_endpoint_takes_work(const struct drain_endpoint *d)
{
	return !d->leaving;
}

/*
 * Starts in DRAIN_SERVING.  A hand-over that would begin while callers may
 * still hold an answer that names this instance is put off until they don't.
 */
void drain_init(struct drain *d, const struct drain_settings *settings)
{
	memset(d, 0, sizeof(*d));
	d->settings = *settings;
}

static void enter(struct drain *d, enum drain_phase phase, uint64_t now)
{
	d->phase = phase;
	d->phase_since = now;
}

/*
 * Begins to leave; there is no way back.  Later calls change nothing.
 */
void drain_announce(struct drain *d, uint64_t now)
{
	if (d->phase != DRAIN_SERVING)
		return;
	d->announced_at = now;
	enter(d, DRAIN_ANNOUNCED, now);
}

/* When no caller can hold an answer any more that names this instance. */
static uint64_t refuses_at(const struct drain *d)
{
	return d->announced_at + DRAIN_SPREAD_MS + d->settings.entries_ttl_ms;
}

static uint64_t hands_over_at(const struct drain *d)
{
	return d->announced_at + d->settings.handover_ms;
}

/*
 * Moves on as far as the time and the number of `running` requests allow, and
 * returns the phase.
 */
enum drain_phase drain_step(struct drain *d, uint64_t now, unsigned int running)
{
	if (d->phase == DRAIN_ANNOUNCED && now >= refuses_at(d))
		enter(d, DRAIN_REFUSING, now);
	if (d->phase == DRAIN_REFUSING && running > 0 &&
	    now >= hands_over_at(d))
		enter(d, DRAIN_HANDING_OVER, now);
	if (d->phase == DRAIN_REFUSING && running == 0)
		enter(d, DRAIN_EXIT, now);
	if (d->phase == DRAIN_HANDING_OVER &&
	    (running == 0 || now >= d->phase_since + d->settings.exit_ms))
		enter(d, DRAIN_EXIT, now);
	return d->phase;
}

/*
 * Tells whether this instance may be named to callers.
 */
bool drain_in_entries(const struct drain *d)
{
	return d->phase == DRAIN_SERVING;
}

/*
 * Tells whether new requests are accepted here.
 */
bool drain_accepts(const struct drain *d)
{
	return d->phase <= DRAIN_ANNOUNCED;
}

/*
 * Returns when drain_step() has something to do at the latest, UINT64_MAX if
 * never.
 */
uint64_t drain_next(const struct drain *d)
{
	switch (d->phase) {
	case DRAIN_ANNOUNCED:
		return refuses_at(d);
	case DRAIN_REFUSING:
		return hands_over_at(d);
	case DRAIN_HANDING_OVER:
		return d->phase_since + d->settings.exit_ms;
	case DRAIN_SERVING:
	case DRAIN_EXIT:
		break;
	}
	return UINT64_MAX;
}

/*
 * Returns a phase's name for people.
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
