/* Fuzzes the parser of resume cursors, as a caller sends them back. */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/cursor.h"
#include "regress/fuzz/fuzz.h"

#define KEY "a secret of the fuzz target"
#define ORG 7

/* Aborts unless a cursor made here parses to the same values, is rejected for
 * another organisation, and is rejected once its signed part is altered. */
static void round_trip(const uint8_t *data, size_t size)
{
	struct cursor c = { .generation = "0123456789abcdef" };
	char prefix[CURSOR_PREFIX_SIZE];
	char text[CURSOR_PREFIX_SIZE + 32];
	struct cursor got;
	size_t at;

	if (size < sizeof(c.endpoint) + 8)
		return;
	memcpy(&c.endpoint, data, sizeof(c.endpoint));
	c.attempt = data[8] * 1000u + data[9];
	c.position = data[10] * 100000u + data[11];
	c.text_hash = c.endpoint * (data[12] | 1u);
	snprintf(c.stream, sizeof(c.stream), "%s.%u.%02x%02x%02x%02x",
		 c.generation, c.attempt, data[13], data[14], data[15],
		 data[8]);
	cursor_prefix(&c, ORG, KEY, prefix);
	if (cursor_write(text, sizeof(text), prefix, c.position, c.text_hash) <
	    0)
		abort();
	if (cursor_parse(text, ORG, KEY, &got) != CURSOR_OK ||
	    strcmp(got.stream, c.stream) != 0 || got.endpoint != c.endpoint ||
	    got.position != c.position || got.text_hash != c.text_hash)
		abort();
	if (cursor_parse(text, ORG + 1, KEY, &got) != CURSOR_BAD_MAC)
		abort();
	at = (size_t)(data[14] | data[15] << 8) % (strlen(prefix) - 1);
	if (text[at] == (char)data[13])
		return;
	text[at] = (char)data[13];
	if (cursor_parse(text, ORG, KEY, &got) == CURSOR_OK &&
	    (strcmp(got.stream, c.stream) != 0 || got.endpoint != c.endpoint))
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cursor c;
	char *text = malloc(size + 1);

	if (!text)
		abort();
	memcpy(text, data, size);
	text[size] = '\0';
	cursor_parse(text, ORG, KEY, &c);
	free(text);
	round_trip(data, size);
	return 0;
}
