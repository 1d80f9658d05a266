#ifndef REGRESS_PLATFORM_STANDIN_H
#define REGRESS_PLATFORM_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/http1_server.h"
#include "regress/harness.h"

/* Stand-ins for the users' platform that run in the event loop of a test: its
 * store, and workers of one engine service and one plain service. */

#define STANDIN_WORKERS_MAX 8
#define STANDIN_PENDING_FEEDS_MAX 1024 /* long polls of the store at once */
#define STANDIN_EVENTS 30 /* in a complete stream */
#define STANDIN_EVENT_MS 15 /* default interval between two events */

/* How a worker answers its requests. */
enum standin_behaviour {
	STANDIN_NORMAL, /* 200, or a stream */
	STANDIN_FULL, /* 503, not executed */
	STANDIN_FAILS, /* 500, executed */
	STANDIN_FULL_EXECUTED, /* 503 without "not-executed", executed */
	STANDIN_UNSIGNED, /* 200 without "response-signature" */
	STANDIN_ENCODED, /* 200 with a content encoding */
	STANDIN_UNFRAMED, /* 200, ended by closing the connection */
	STANDIN_DISCONNECTS, /* closes the connection after the request */
	STANDIN_BREAKS_OFF, /* the same after the head of a stream */
	STANDIN_SILENT, /* never answers */
	STANDIN_MISDIRECTED, /* 421: another worker has this address */
	STANDIN_MISDIRECTED_SELF, /* 421 that names the worker itself */
	STANDIN_TRICKLES, /* streams: one event, then single bytes forever */
};

struct standin_world;

struct standin_worker {
	struct standin_world *world;
	char id[32];
	const char *address; /* listening address */
	const char *public_address; /* in its entry; may be a fault proxy's */
	const char *view_address; /* in the view's entry; NULL: the same */
	const char *service; /* "engine" or "plain" */
	const char *zone;
	const char *version; /* of its software; events of streams name it */
	enum standin_behaviour behaviour;
	const char *extra_headers; /* lines added to all answers, or NULL */
	const char *limit; /* requests per second that answers name, or NULL */
	/* its streams have neither a length nor chunks: they end with their
	 * connection */
	bool streams_unframed;
	bool holds_reports; /* it leaves requests for its report unanswered */
	/* it answers them at standin_answer_reports(), with what was true when
	 * each came: as what a partition holds back and an earlier process has
	 * sent */
	bool defers_reports;
	unsigned int born_ms; /* start time in its entry */
	unsigned int slots; /* in its entry; 0: 16 */
	/* it is silent for so long before it answers a request, which a plain
	 * answer then does, also of an engine; 0: it answers at once */
	unsigned int silent_ms;
	/* requests in progress at most; the connections of further ones are
	 * closed, and they are not executed; 0: any number */
	unsigned int connections;
	struct http1_server *server; /* NULL while it is down */
	uv_timer_t crash_timer; /* for its crash, then its restart */
	bool crashing; /* crash_timer is active */
	bool crash_timer_initialised;
};

/* A request that crashes each worker that runs it, and the crashes so far. */
struct standin_crash {
	const char *body; /* of the request; NULL: none */
	/* id of a part of the prompt that does so before any byte of the
	 * answer; NULL: none */
	const char *part;
	uint64_t after_ms; /* from the arrival to the crash */
	uint64_t down_ms; /* from the crash to the restart with a new id */
	uint64_t at_ms[64]; /* times of the first crashes, by the loop */
	size_t n; /* crashes in all; may exceed the size of at_ms */
};

/* A request as a worker received it. */
struct standin_arrival {
	struct standin_worker *worker;
	char *head; /* all header lines in lower case, each after "\n" */
	char *target;
	char *body;
	size_t body_len;
	uint64_t at_ms; /* by the clock of the loop */
	char worker_id[32]; /* at that time */
	unsigned int worker_born_ms; /* at that time */
	const char *version; /* of the worker's software at that time */
	const char *extra_headers; /* of the worker at that time, or NULL */
	char limit[32]; /* that the answer names; empty: none */
	bool ran; /* the worker started to execute it */
	bool misdirected; /* names another worker; answered 421 */
	bool closed; /* the client closed the stream before its end */
};

/* The stand-in platform of one test. */
struct standin_world {
	struct harness *harness;
	const char *store_address; /* listening address */
	const char *store_public_address; /* in settings; may be a proxy's */
	struct http1_server *store;
	const char *view_address; /* listening address of the view, or NULL */
	struct http1_server *view;
	bool store_refuses; /* answers every call with 503 */
	bool store_refuses_writes; /* answers writes with 503 */
	/* transactions that write, or remove, a row whose key begins so are not
	 * answered, and done by standin_do_held() only; NULL: none */
	const char *held_puts;
	const char *held_removals;
	json_t *held; /* these transactions, in the order of arrival */
	json_int_t history_from; /* feeds after older versions get 410 */
	const char *extra_settings; /* lines added to all settings, or NULL */
	unsigned int grace_s; /* of instances; 0: 2 */
	unsigned int header_bytes; /* in the configuration; 0: 4096 */
	unsigned int body_bytes; /* in the configuration; 0: 10000 */
	size_t plain_bytes; /* of plain answers; 0: a short text */
	uint64_t event_ms; /* interval between two events of a stream */
	size_t event_padding; /* bytes added to each event of a stream */
	/* events of streams also name the number of their run, in the order of
	 * starts, and the id of its request */
	bool events_name_runs;
	unsigned int n_runs; /* streams started by all workers */
	const char *key; /* API key of the organisation */
	uint64_t longest_gap_ms; /* longest time between two events written */
	json_t *rows; /* of all tables, ordered by version */
	json_int_t version; /* of the newest row */
	json_int_t era; /* rises with each return from a copy */
	json_t *copy_rows; /* rows of the copy, or NULL */
	json_int_t copy_version; /* version of the copy */
	struct http1_conn *pending_feeds[STANDIN_PENDING_FEEDS_MAX];
	char pending_table[STANDIN_PENDING_FEEDS_MAX][32];
	json_int_t pending_after[STANDIN_PENDING_FEEDS_MAX];
	uint64_t pending_until_ms[STANDIN_PENDING_FEEDS_MAX];
	bool pending_view[STANDIN_PENDING_FEEDS_MAX]; /* came to the view */
	uv_timer_t feeds_timer; /* answers feeds that have waited long enough */
	struct standin_worker workers[STANDIN_WORKERS_MAX];
	size_t n_workers;
	struct standin_arrival **arrivals;
	size_t n_arrivals;
	struct standin_stream *streams;
	struct standin_crash crash;
};

struct standin_world *standin_new(struct harness *h);
void standin_free(struct standin_world *w);
void standin_put(struct standin_world *w, const char *table, const char *key,
		 const char *value);
void standin_remove(struct standin_world *w, const char *table,
		    const char *key);
size_t standin_count_rows(const struct standin_world *w, const char *table,
			  const char *prefix);
json_int_t standin_newest_row(const struct standin_world *w, const char *table,
			      const char *prefix);
bool standin_row_exists(const struct standin_world *w, const char *table,
			const char *key);
bool standin_row_contains(const struct standin_world *w, const char *table,
			  const char *key, const char *text);
void standin_put_configuration(struct standin_world *w, int version,
			       const char *extra_routes);
struct standin_worker *standin_add_worker(struct standin_world *w,
					  const char *service,
					  const char *zone);
struct standin_worker *standin_add_worker_of(struct standin_world *w,
					     const char *service,
					     const char *zone,
					     const char *version);
void standin_put_worker_entry(struct standin_worker *worker, const char *state);
void standin_kill_worker(struct standin_worker *worker);
void standin_kill_in_order(struct standin_worker *worker);
void standin_start_worker(struct standin_worker *worker, const char *id);
void standin_start_unlisted(struct standin_worker *worker, const char *id);
void standin_restart_worker(struct standin_worker *worker, const char *version);
bool standin_defers_report(const struct standin_worker *worker);
void standin_answer_reports(struct standin_worker *worker);
void standin_replace_worker(struct standin_worker *worker);
void standin_stop_store(struct standin_world *w);
void standin_start_store(struct standin_world *w);
void standin_open_view(struct standin_world *w);
void standin_copy_store(struct standin_world *w);
void standin_restore_store(struct standin_world *w);
void standin_lose_feeds(struct standin_world *w, const char *table);
size_t standin_count_held(const struct standin_world *w);
void standin_do_held(struct standin_world *w);
void standin_forget_history(struct standin_world *w);
size_t standin_waiting_feeds(const struct standin_world *w, const char *table,
			     uint64_t least_ms);
const struct standin_arrival *standin_last_arrival(
	const struct standin_world *w);
bool standin_has_part(const struct standin_arrival *a, const char *part);
bool standin_is_crash_request(const struct standin_arrival *a);
bool standin_arrival_has_line(const struct standin_arrival *a,
			      const char *line);

/* A cdmproxyd process, its addresses and its settings file. */
struct standin_instance {
	struct proc *proc;
	const char *name;
	const char *callers;
	const char *readiness;
	const char *directory;
	const char *metrics;
	const char *control;
	const char *peers;
	const char *settings;
};

void standin_init_instance(struct standin_world *w, struct standin_instance *in,
			   const char *name, const char *seed);
void standin_start_instance(struct standin_world *w,
			    struct standin_instance *in);
void standin_put_instance_entry(struct standin_world *w, const char *name,
				const char *callers, const char *control,
				const char *peers);
void standin_wait_status(struct standin_world *w, const char *address,
			 const char *path, int status);

#endif /* REGRESS_PLATFORM_STANDIN_H */
