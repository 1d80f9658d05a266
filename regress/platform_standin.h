#ifndef REGRESS_PLATFORM_STANDIN_H
#define REGRESS_PLATFORM_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/http1_server.h"
#include "regress/harness.h"

/* Stand-ins of the users' platform within a test's own loop: its store, and
 * workers of one engine service and one plain service. */

#define STANDIN_WORKERS_MAX 8
#define STANDIN_WAITING_MAX 1024 /* calls to the store that wait for changes */
#define STANDIN_EVENTS 30 /* of a whole stream */
#define STANDIN_EVENT_MS 15 /* between two, unless the test sets another */

enum standin_mood {
	STANDIN_SERVES,
	STANDIN_FULL, /* 503, not executed */
	STANDIN_FAILS, /* 500, executed */
	STANDIN_BUSY_LIAR, /* 503 without the word that nothing was executed */
	STANDIN_UNMARKED, /* 200 without its mark */
	STANDIN_ENCODED, /* 200 with a content encoding */
	STANDIN_UNFRAMED, /* 200 that ends with its connection */
	STANDIN_BREAKS, /* closes the connection once it has the request */
	STANDIN_SILENT, /* never answers */
	STANDIN_OTHER, /* 421: another worker has the address */
	STANDIN_TRICKLES, /* streams: one event, then single bytes for ever */
};

struct standin_world;

struct standin_worker {
	struct standin_world *world;
	char id[32];
	const char *address; /* where it listens */
	const char *public_address; /* in its entry; a proxy may lie between */
	const char *service; /* "engine" or "plain" */
	const char *zone;
	enum standin_mood mood;
	const char *words; /* header lines of all its answers, or NULL */
	unsigned int born_ms; /* Unix time of its start */
	struct http1_server *server; /* NULL: it is down */
	uv_timer_t crash; /* its end by a request, then its new start */
	bool crashing; /* the timer is in use */
	bool timed; /* the timer is initialised */
};

/* A request that ends each worker that runs it. */
struct standin_crash {
	const char *body; /* of the request, or NULL */
	uint64_t after_ms; /* from its arrival to the end */
	uint64_t down_ms; /* until the worker is back, under another id */
	uint64_t at_ms[64]; /* when workers ended, by the test's loop */
	size_t n;
};

/* A request as it reached a worker. */
struct standin_arrival {
	struct standin_worker *worker;
	char *head; /* all header lines, in lower case */
	char *target;
	char *body;
	size_t body_len;
	uint64_t at_ms; /* by the clock of the test's loop */
	char worker_id[32]; /* as it was then */
	const char *words; /* as the worker's when it answered, or NULL */
	bool ran; /* the worker began to work on it */
	bool misdirected; /* it named another worker, and was answered 421 */
	bool closed; /* the caller's side left before the end */
};

struct standin_world {
	struct harness *harness;
	const char *store_address; /* where it listens */
	const char *store_public; /* in settings; a proxy may lie between */
	struct http1_server *store;
	bool store_refuses; /* 503 to everything */
	bool store_refuses_writes; /* 503 to them */
	const char *settings; /* further lines of each instance's, or NULL */
	uint64_t event_ms; /* between two events of a stream */
	const char *key; /* of the organisation in configurations */
	uint64_t longest_gap_ms; /* between two events as they were written */
	json_t *rows; /* of all tables */
	json_int_t version;
	struct http1_conn *waiting[STANDIN_WAITING_MAX];
	char waiting_table[STANDIN_WAITING_MAX][32];
	json_int_t waiting_after[STANDIN_WAITING_MAX];
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
bool standin_has(const struct standin_world *w, const char *table,
		 const char *key);
void standin_configuration(struct standin_world *w, int version,
			   const char *extra_routes);
struct standin_worker *standin_worker(struct standin_world *w,
				      const char *service, const char *zone);
void standin_announce(struct standin_worker *worker, const char *state);
void standin_kill(struct standin_worker *worker);
void standin_restart(struct standin_worker *worker, const char *id);
void standin_return(struct standin_worker *worker);
void standin_stop_store(struct standin_world *w);
void standin_start_store(struct standin_world *w);
const struct standin_arrival *standin_last(const struct standin_world *w);
bool standin_crashes(const struct standin_arrival *a);
bool standin_head_has(const struct standin_arrival *a, const char *line);

/* An instance of cdmproxyd with its addresses. */
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

void standin_instance(struct standin_world *w, struct standin_instance *in,
		      const char *name, const char *seed);
void standin_start(struct standin_world *w, struct standin_instance *in);
void standin_list_instance(struct standin_world *w, const char *name,
			   const char *callers, const char *control,
			   const char *peers);
void standin_wait_status(struct standin_world *w, const char *address,
			 const char *path, int status);

#endif /* REGRESS_PLATFORM_STANDIN_H */
