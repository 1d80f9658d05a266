#ifndef POLICY_STREAM_ORIGIN_H
#define POLICY_STREAM_ORIGIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A software version is named by a hash of the service and of its text. */
#define SOFTWARE_UNKNOWN 0

#define SOFTWARE_VERSIONS_MAX 64 /* remembered, of all services */

/* How far the store knows something. */
enum stored {
	STORED_NOT,
	STORED_IN_CALL, /* the call that writes it has not ended */
	STORED,
};

/* The software version that began a stream. */
struct stream_origin {
	uint64_t stream; /* hash of the id of its first request; 0: unused */
	uint64_t software; /* SOFTWARE_UNKNOWN: records contradict each other */
	uint64_t noted_ms;
	bool own; /* sent by this instance */
	bool begun; /* had an event, so that its version is final */
	/* software is to be replaced by the version once that is known */
	bool awaits_name;
	enum stored stored;
};

/* Streams begun within the longest life of a stream, the oldest of which are
 * forgotten first. */
struct stream_origin_table {
	struct stream_origin *slot;
	uint32_t n_sets;
};

/* A version that endpoints of a service run or ran. */
struct software_version {
	uint64_t service; /* hash of its name */
	uint64_t software;
	uint64_t listed_ms; /* when an endpoint with it was last listed */
	enum stored stored;
	uint64_t row_version; /* of its row, as read last; 0: it had none */
	uint64_t end_reading; /* number of the reading by which its row is
			       * removed; 0: it serves */
	bool removing; /* its row, in a call that is not answered */
};

struct software_history {
	struct software_version version[SOFTWARE_VERSIONS_MAX];
	size_t n;
	uint64_t overflow_ms; /* when one was last forgotten; 0: never */
};

/* Versions of a service that may have begun a stream that is not over. */
struct software_recent {
	uint32_t n;
	uint64_t only; /* if n is 1 */
};

/* A stream that a caller resumes here. */
struct stream_take_up {
	uint64_t recorded; /* its version by record, or SOFTWARE_UNKNOWN */
	bool begun; /* the record was made after its first event */
	size_t keepers; /* instances that may have such a record */
	uint64_t asked_ms_ago; /* when these were asked; 0: not yet */
	struct software_recent recent;
	bool history_complete; /* recent is of a reading since it arrived */
	bool store_answers;
	uint32_t readings; /* of the store's records since it arrived */
	uint64_t waited_ms;
};

enum take_up_action {
	TAKE_UP_BOUND, /* goes on at the endpoints of one version */
	TAKE_UP_ASK, /* the keepers of its record, and wait for them */
	TAKE_UP_WAIT, /* until the store's records are read */
	TAKE_UP_REFUSE,
};

struct take_up_decision {
	enum take_up_action action;
	uint64_t software; /* if TAKE_UP_BOUND */
};

void stream_origin_init(struct stream_origin_table *t, uint32_t max);
void stream_origin_release(struct stream_origin_table *t);
void stream_origin_note(struct stream_origin_table *t, uint64_t stream,
			uint64_t software, uint64_t now);
void stream_origin_begin(struct stream_origin_table *t, uint64_t stream,
			 uint64_t software, uint64_t now);
void stream_origin_await_name(struct stream_origin_table *t, uint64_t stream);
void stream_origin_keep(struct stream_origin_table *t, uint64_t stream,
			uint64_t software, uint64_t now);
void stream_origin_read(struct stream_origin_table *t, uint64_t stream,
			uint64_t software, uint64_t now);
const struct stream_origin *stream_origin_find(
	const struct stream_origin_table *t, uint64_t stream);
struct stream_origin *stream_origin_next_unstored(struct stream_origin_table *t,
						  uint64_t since,
						  size_t *position);
void stream_origin_rename(struct stream_origin_table *t, uint64_t from,
			  uint64_t to);
void stream_origin_written(struct stream_origin_table *t, bool success);
void stream_origin_lost(struct stream_origin_table *t);

void software_note(struct software_history *h, uint64_t service,
		   uint64_t software, uint64_t now);
void software_read(struct software_history *h, uint64_t service,
		   uint64_t software, bool current, uint64_t row_version,
		   uint64_t now);
void software_forget(struct software_history *h, uint64_t software);
struct software_recent software_recent(const struct software_history *h,
				       uint64_t service, uint64_t life_ms,
				       uint64_t now);
bool software_mixed(const struct software_history *h, uint64_t life_ms,
		    uint64_t now);
bool software_over(const struct software_version *v, uint64_t life_ms,
		   uint64_t now);
bool software_stored(const struct software_history *h, uint64_t software);
struct take_up_decision stream_take_up_decide(const struct stream_take_up *t);
uint32_t stream_origin_interval_ms(size_t instances);

#endif /* POLICY_STREAM_ORIGIN_H */
