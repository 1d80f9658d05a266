/*
 * Times of day as logs and explanations show them.
 */
#include "lib/timestamp.h"

#include <stdio.h>

/* Writes a time as RFC 3339 has it, UTC with milliseconds. */
void timestamp_format(const struct timespec *at, char *buf, size_t size)
{
	struct tm tm;
	size_t n;

	gmtime_r(&at->tv_sec, &tm);
	n = strftime(buf, size, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf + n, size - n, ".%03ldZ", at->tv_nsec / 1000000);
}
