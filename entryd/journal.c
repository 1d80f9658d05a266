/*
 * What happened to the newest requests, in sentences, for `cdmctl explain`.
 */
#include "entryd/journal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <bsd/string.h>

#include "lib/timestamp.h"
#include "lib/xalloc.h"

#define EVENTS_MAX 24 /* of one request; later ones push out the middle */
#define REQUEST_SIZE 40

struct event {
	struct timespec at;
	char *text;
};

struct entry {
	char request[REQUEST_SIZE];
	struct event events[EVENTS_MAX];
	size_t n;
};

struct journal {
	struct entry entries[JOURNAL_REQUESTS];
	size_t next;
};

static struct entry *entry_find(struct journal *j, const char *request);
static void entry_clear(struct entry *entry);

/* Makes an empty journal. */
struct journal *journal_new(void)
{
	return xcalloc(1, sizeof(struct journal));
}

/* Frees a journal. */
void journal_free(struct journal *j)
{
	size_t i;

	for (i = 0; i < JOURNAL_REQUESTS; i++)
		entry_clear(&j->entries[i]);
	free(j);
}

/* Adds a sentence about a request. */
void journal_add(struct journal *j, const char *request, const char *fmt, ...)
{
	struct entry *entry = entry_find(j, request);
	struct event *event;
	char text[256];
	va_list ap;

	if (!entry) {
		entry = &j->entries[j->next++ % JOURNAL_REQUESTS];
		entry_clear(entry);
		strlcpy(entry->request, request, sizeof(entry->request));
	}
	if (entry->n == EVENTS_MAX) {
		free(entry->events[EVENTS_MAX / 2].text);
		memmove(&entry->events[EVENTS_MAX / 2],
			&entry->events[EVENTS_MAX / 2 + 1],
			(EVENTS_MAX / 2 - 1) * sizeof(*event));
		entry->n--;
	}
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	event = &entry->events[entry->n++];
	clock_gettime(CLOCK_REALTIME, &event->at);
	event->text = xstrdup(text);
}

/* Returns the events of a request as JSON, oldest first; empty if none. */
json_t *journal_events(const struct journal *j, const char *request)
{
	json_t *list = json_array();
	char when[TIMESTAMP_SIZE];
	size_t i;
	size_t k;

	for (i = 0; i < JOURNAL_REQUESTS; i++) {
		const struct entry *entry = &j->entries[i];

		if (strcmp(entry->request, request) != 0)
			continue;
		for (k = 0; k < entry->n; k++) {
			timestamp_format(&entry->events[k].at, when,
					 sizeof(when));
			json_array_append_new(
				list, json_pack("{s:s, s:s}", "time", when,
						"text", entry->events[k].text));
		}
	}
	return list;
}

/* Returns the entry of a request among the newest ones, or NULL. */
static struct entry *entry_find(struct journal *j, const char *request)
{
	size_t back;

	for (back = 1; back <= JOURNAL_REQUESTS && back <= j->next; back++) {
		struct entry *entry =
			&j->entries[(j->next - back) % JOURNAL_REQUESTS];

		if (!strcmp(entry->request, request))
			return entry;
	}
	return NULL;
}

/* Empties an entry. */
static void entry_clear(struct entry *entry)
{
	while (entry->n)
		free(entry->events[--entry->n].text);
	entry->request[0] = '\0';
}
