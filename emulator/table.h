#ifndef EMULATOR_TABLE_H
#define EMULATOR_TABLE_H

#include <stdint.h>

#include <jansson.h>

/* A table of versioned rows with conditional writes. */
struct table {
	json_t *rows; /* key: row */
	uint64_t version; /* of the last write */
};

enum table_outcome {
	TABLE_WRITTEN,
	TABLE_CONFLICT,
	TABLE_MALFORMED,
};

void table_init(struct table *t);
void table_release(struct table *t);
enum table_outcome table_write(struct table *t, const json_t *request,
			       json_t **answer);
json_t *table_row(const struct table *t, const char *key);
json_t *table_scan(const struct table *t, const char *prefix);

#endif /* EMULATOR_TABLE_H */
