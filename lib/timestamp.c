/*
 * Formatting of timestamps for logs and explanations.
 */
#include "lib/timestamp.h"

#include <stdio.h>

/* Formats a time as in RFC 3339, in UTC with milliseconds.  A buffer of
 * TIMESTAMP_SIZE bytes suffices. */
void timestamp_format(const struct timespec *at, char *buf, size_t size)
{
	struct tm tm;
	size_t n;

	gmtime_r(&at->tv_sec, &tm);
	n = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + n, size - n, ".%03ldZ", at->tv_nsec / 1000000);
}
