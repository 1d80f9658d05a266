/*
 * The instances that read the store for others.  They announce this several
 * times a second, far more often than instances send heartbeats, so that others
 * take over within the time limits for configuration changes at any fleet size.
 * Handles a third of 295 instances being cut off, both readers among them, in
 * the moment when an API key is revoked.
 */
#include "policy/store_reader.h"

/* Interval between a reader's announcements. */
#define ANNOUNCE_MS 400

/* The loss of two datagrams in a row is rare; after three a reader counts as
 * cut off. */
#define SILENT_MS 1200

/* Returns the interval between a reader's announcements, ms. */
uint32_t store_reader_interval_ms(void)
{
	return ANNOUNCE_MS;
}

/* Records that an instance announced itself as a reader, and whether the store
 * answers it. */
void store_reader_announced(struct reader *r, bool answers, uint64_t now)
{
	r->announced_ms = now;
	r->unable = !answers;
	if (answers)
		r->answered_ms = now;
}

/* Records that an instance stopped reading because others read. */
void store_reader_stopped(struct reader *r)
{
	r->announced_ms = 0;
	r->unable = false;
}

/* Records a datagram without an announcement: if the instance was a reader that
 * fell silent, it reads no more, but is able to. */
void store_reader_seen(struct reader *r, uint64_t now)
{
	if (store_reader_silent(r, now))
		store_reader_stopped(r);
}

/* Tells whether a reader has fallen silent. */
bool store_reader_silent(const struct reader *r, uint64_t now)
{
	return r->announced_ms && now - r->announced_ms > SILENT_MS;
}
