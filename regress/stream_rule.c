/*
 * The users' rule ORDER: in a stream no piece is missing or comes twice, pieces
 * of two runs are not joined unless the stream may be resumed, it holds events
 * of one software version, and it does not end as complete before its last
 * piece.
 */
#include "regress/stream_rule.h"

#include <stdio.h>
#include <string.h>

/* Marks a fault; returns its bit if the stream did not have it before. */
static unsigned int mark(struct followed_stream *s, enum stream_fault fault)
{
	bool is_new = !s->faults[fault];

	s->faults[fault] = true;
	return is_new ? 1u << fault : 0;
}

/* Returns whether a piece is of a run that may not follow the pieces so far. */
static bool is_joined(const struct followed_stream *s,
		      const struct stream_piece *piece)
{
	if (strncmp(piece->request, s->prefix, strlen(s->prefix)) != 0)
		return true;
	return s->received &&
	       (s->resumable ? piece->run < s->run : piece->run != s->run);
}

/* Notes a piece in the order in which the caller receives it.  Returns the bits
 * of the faults that it shows for the first time in this stream. */
unsigned int stream_rule_piece(struct followed_stream *s,
			       const struct stream_piece *piece)
{
	unsigned int found = 0;

	if (piece->number > s->received + 1)
		found |= mark(s, STREAM_MISSING);
	if (piece->number <= s->received)
		found |= mark(s, STREAM_TWICE);
	if (is_joined(s, piece))
		found |= mark(s, STREAM_JOINED);
	if (!s->received)
		snprintf(s->version, sizeof(s->version), "%s", piece->version);
	else if (strcmp(s->version, piece->version) != 0)
		found |= mark(s, STREAM_TWO_VERSIONS);
	if (piece->number > s->received)
		s->received = piece->number;
	s->run = piece->run;
	return found;
}

/* Notes that an answer of the stream ended as complete.  Returns the bit of the
 * fault if its last piece had not come. */
unsigned int stream_rule_complete(struct followed_stream *s)
{
	return s->received < s->last_piece ? mark(s, STREAM_EARLY) : 0;
}

/* Adds a stream, which has ended, to the counts. */
void stream_rule_count(struct stream_counts *c, const struct followed_stream *s)
{
	int i;

	c->streams++;
	for (i = 0; i < STREAM_FAULTS; i++)
		c->faulty[i] += s->faults[i];
}

/* Returns the name of a fault, for messages. */
const char *stream_fault_name(enum stream_fault fault)
{
	static const char *const names[] = {
		[STREAM_MISSING] = "piece missing",
		[STREAM_TWICE] = "piece twice",
		[STREAM_JOINED] = "two runs joined",
		[STREAM_TWO_VERSIONS] = "two versions",
		[STREAM_EARLY] = "complete early",
	};

	return names[fault];
}
