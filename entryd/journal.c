/*
 * Records the events of the most recent requests, as sentences, for `cdmctl
 * explain`.
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

#define EVENTS_MAX 24 /* per request; beyond it, middle events are dropped */
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

/* Allocates an empty journal. */
struct journal *journal_new(void)
{
	return xcalloc(1, sizeof(struct journal));
}

/* Frees a journal with its entries. */
void journal_free(struct journal *j)
{
	size_t i;

	for (i = 0; i < JOURNAL_REQUESTS; i++)
		entry_clear(&j->entries[i]);
	free(j);
}

/* Records an event of a request.  A new request replaces the oldest one. */
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

/* Returns the events of a request as a JSON array, oldest first.  The array is
 * empty if the request is unknown. */
json_t *journal_events(const struct journal *j, const char *request)
{
	json_t *list = json_array();
	char time_text[TIMESTAMP_SIZE];
	size_t i;
	size_t k;

	for (i = 0; i < JOURNAL_REQUESTS; i++) {
		const struct entry *entry = &j->entries[i];

		if (strcmp(entry->request, request) != 0)
			continue;
		for (k = 0; k < entry->n; k++) {
			timestamp_format(&entry->events[k].at, time_text,
					 sizeof(time_text));
			json_array_append_new(
				list, json_pack("{s:s, s:s}", "time", time_text,
						"text", entry->events[k].text));
		}
	}
	return list;
}

/* Returns the entry of a request, or NULL.  Searches from the newest entry. */
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

/* Frees the events of an entry. */
static void entry_clear(struct entry *entry)
{
	while (entry->n)
		free(entry->events[--entry->n].text);
	entry->request[0] = '\0';
}
