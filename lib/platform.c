/*
 * Shared by all implementations of the platform client: writer nonces and names
 * of outcomes.
 */
#include "lib/platform.h"

#include <bsd/stdlib.h>
#include <stdio.h>

/* Generates a random writer nonce of 32 hexadecimal digits.  A writer that lost
 * the response reads the row back and recognizes its own write by the nonce. */
void platform_nonce(char nonce[PLATFORM_NONCE_SIZE])
{
	uint32_t words[4];

	arc4random_buf(words, sizeof(words));
	snprintf(nonce, PLATFORM_NONCE_SIZE, "%08x%08x%08x%08x", words[0],
		 words[1], words[2], words[3]);
}

/* Returns the name of an outcome for logs and counters. */
const char *platform_outcome_name(enum platform_outcome outcome)
{
	switch (outcome) {
	case PLATFORM_OK:
		return "ok";
	case PLATFORM_CONFLICT:
		return "conflict";
	case PLATFORM_NOT_FOUND:
		return "not-found";
	case PLATFORM_UNAVAILABLE:
		return "unavailable";
	case PLATFORM_UNKNOWN:
		return "unknown";
	case PLATFORM_REJECTED:
		return "rejected";
	}
	return "?";
}
