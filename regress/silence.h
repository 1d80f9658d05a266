#ifndef REGRESS_SILENCE_H
#define REGRESS_SILENCE_H

#include <stddef.h>

#include "regress/platform_standin.h"

#define SILENCE_INSTANCES_MAX 2

/* A route with short gaps; the rest of its properties are the case's. */
#define SILENCE_ROUTE                                                   \
	"{\"name\":\"case\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":" \
	"\"/case/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"   \
	"\"targetLatencyMs\":4500,\"targetGapMs\":100,\"backend\":"     \
	"\"engine\","

struct silence_case {
	const char *what;
	const char *mode; /* of the fault proxy */
	const char *route;
	const char *settings;
	size_t instances;
	size_t engines; /* besides the first */
};

extern struct harness *silence_harness;
extern struct standin_world *silence_world;
extern struct standin_instance silence_instances[SILENCE_INSTANCES_MAX];

void silence_start(const struct silence_case *c);
void silence_end(const struct silence_case *c);
struct stream_reader *silence_open_stream(void);
void silence_set_mode(size_t engine, const char *mode);
void silence_connections(size_t engine);
size_t silence_engine_of_run(void);
size_t silence_attempts(void);

#endif /* REGRESS_SILENCE_H */
