#ifndef POLICY_PATH_H
#define POLICY_PATH_H

#include <stdbool.h>
#include <stdint.h>

/* What this instance knows of its path to one endpoint.  Times in ms, 0:
 * never. */
struct path_endpoint {
	/* sending of the newest call that it answered, on a connection opened
	 * for it, and on a kept one */
	uint64_t answered_ms;
	uint64_t kept_answered_ms;
	/* sending of the oldest call that it answered on a new connection since
	 * it failed, or since the path was lost */
	uint64_t answering_ms;
	uint64_t not_connected_ms; /* begin of the newest failed connection */
	/* sending of the newest call that it left unanswered, and when that was
	 * noted */
	uint64_t unanswered_ms;
	uint64_t overdue_ms;
};

/* The path of this instance to the endpoints of a service. */
struct path {
	bool lost;
	uint64_t since_ms; /* when it was lost */
	uint64_t heard_ms; /* when bytes of any endpoint last came; 0: never */
	uint64_t suspected_ms; /* endpoints fail and none answers; 0: not so */
	uint64_t failed_ms; /* newest failure of any endpoint */
	uint64_t answered_ms; /* sending of the newest call with an answer */
	/* start of the newest connection that an endpoint accepted */
	uint64_t connected_ms;
	/* newest refusal of which it is not known whether the endpoint has
	 * ended; 0: none */
	uint64_t refused_ms;
	uint64_t probed_ms;
};

/* The endpoints of a service that are listed and take work, counted by what is
 * known of the path to them. */
struct path_count {
	uint32_t usable;
	uint32_t failed; /* lately, without an answer since */
	uint32_t unanswered; /* of these, left calls unanswered */
	uint32_t back; /* answered since the path was lost */
	uint32_t steady; /* of these, went on to answer */
	uint64_t first_failure_ms; /* among those that failed */
	uint64_t answered_ms; /* newest answer among the others */
};

/* A call that an endpoint has received, or should have. */
struct path_call {
	uint64_t sent_ms;
	bool engine; /* its answer is a stream of events */
	uint32_t usual_ms; /* mean of plain answers there; 0: none yet */
	uint64_t
		first_event_due_ms; /* when its first event is expected; 0: came */
	uint64_t last_event_ms;
};

/* Choice among the endpoints that may be asked; all 0: none so far. */
struct path_probe {
	bool answers; /* the chosen one has answered since the last loss */
	uint64_t asked_ms; /* when it was asked last */
	uint32_t n; /* how many are like it */
};

/* What a refused connection shows. */
enum path_refusal {
	PATH_REFUSAL_UNDECIDED,
	PATH_REFUSAL_ENDED, /* the endpoint has ended */
	PATH_REFUSAL_NO_PATH, /* nothing of the endpoint */
};

struct path_refusal_signs {
	bool alone; /* no other instance can tell */
	bool path_lost; /* to all endpoints of the service */
	bool connected_since; /* another endpoint accepted a new connection */
	bool others_reached_since; /* endpoints of the service */
	uint64_t waited_ms;
};

enum path_refusal path_judge_refusal(const struct path_refusal_signs *s);
bool path_call_overdue(const struct path_call *c, uint64_t now);
void path_answered(struct path *p, struct path_endpoint *e, uint64_t sent_ms,
		   bool kept_connection);
void path_heard(struct path *p, uint64_t now);
void path_connected(struct path *p, uint64_t begun_ms);
void path_not_connected(struct path *p, struct path_endpoint *e,
			uint64_t begun_ms, uint64_t now);
void path_unanswered(struct path *p, struct path_endpoint *e, uint64_t sent_ms,
		     uint64_t now);
bool path_doubtful(const struct path *p, uint64_t now);
bool path_needs_count(const struct path *p, uint64_t now);
bool path_endpoint_refuses(const struct path_endpoint *e, uint64_t now);
bool path_endpoint_failed(const struct path_endpoint *e, uint64_t now);
void path_count_add(struct path_count *c, const struct path *p,
		    const struct path_endpoint *e, uint64_t now);
bool path_decide(struct path *p, const struct path_count *c, uint64_t now);
bool path_probe_prefers(struct path_probe *c, const struct path *p,
			const struct path_endpoint *e, uint64_t asked_ms,
			uint64_t rnd, uint64_t now);
bool path_probe_due(const struct path *p, bool other_lost, uint64_t now);

#endif /* POLICY_PATH_H */
