#ifndef ENTRYD_JOURNAL_H
#define ENTRYD_JOURNAL_H

#include <jansson.h>
#include <stddef.h>

#define JOURNAL_REQUESTS 2048 /* number of most recent requests kept */

struct journal *journal_new(void);
void journal_free(struct journal *j);
void journal_add(struct journal *j, const char *request, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
json_t *journal_events(const struct journal *j, const char *request);

#endif /* ENTRYD_JOURNAL_H */
