/*
 * The instances that read the store for others.  They say so several times a
 * second, far more often than instances tell that they live, so that others step
 * in within the bounds on configurations whatever the size of the fleet.  Answers
 * the pattern of a third of 295 instances cut off, both readers among them, in
 * the moment when a key is taken away.
 */
#include "policy/reader.h"

/* How often an instance that reads says so. */
#define TELL_MS 400

/* Two lost datagrams in a row are rare; after three it is taken for cut off. */
#define SILENT_MS 1200

/* Returns how often an instance that reads for others says so, ms. */
uint32_t reader_tell_ms(void)
{
	return TELL_MS;
}

/* An instance says that it is to read, and whether the store answers it. */
void reader_says(struct reader *r, bool answers, uint64_t now)
{
	r->said_ms = now;
	r->unable = !answers;
	if (answers)
		r->answered_ms = now;
}

/* An instance reads no more, as others do. */
void reader_ends(struct reader *r)
{
	r->said_ms = 0;
	r->unable = false;
}

/* An instance was heard that said nothing of reading: one that had fallen silent
 * reads no more, but could. */
void reader_lives(struct reader *r, uint64_t now)
{
	if (reader_silent(r, now))
		reader_ends(r);
}

/* Tells whether an instance that was to read has fallen silent. */
bool reader_silent(const struct reader *r, uint64_t now)
{
	return r->said_ms && now - r->said_ms > SILENT_MS;
}
