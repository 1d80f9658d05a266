#ifndef REGRESS_HARNESS_H
#define REGRESS_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>
#include <uv.h>

#include "lib/httpc.h"

/* The timeout of every wait for an expected condition, ms. */
#define HARNESS_WAIT_MS 30000

/* The processes of one test, which listen on the loopback address, their files
 * and an HTTP client.  Failures end the test through cmocka. */
struct harness;

/* A process that a test started. */
struct proc {
	struct proc *next;
	struct harness *harness;
	char *name;
	char *log_path; /* its standard error */
	char *out_path; /* its standard output */
	pid_t pid; /* 0 after it is reaped */
	int exit_code; /* or 128 + the number of the fatal signal */
};

struct harness *harness_new(void);
void harness_free(struct harness *h);
uv_loop_t *harness_loop(struct harness *h);
struct httpc *harness_client(struct harness *h);
const char *harness_dir(const struct harness *h);
const char *harness_address(struct harness *h);
void harness_listen(struct harness *h, uv_tcp_t *listener, const char *address,
		    uv_connection_cb on_connection, void *data);
const char *harness_file(struct harness *h, const char *name, const char *fmt,
			 ...) __attribute__((format(printf, 3, 4)));

/* Starts a program of $CDM_BIN with the given arguments. */
#define HARNESS_START(h, name, program, ...) \
	harness_startv(h, name, program,     \
		       (const char *const[]){ __VA_ARGS__, NULL })

struct proc *harness_startv(struct harness *h, const char *name,
			    const char *program, const char *const *args);
bool proc_running(struct proc *p);
int proc_wait(struct proc *p);
int proc_stop(struct proc *p);
void proc_kill(struct proc *p);
void proc_signal(struct proc *p, int signum);
char *proc_log(const struct proc *p);
char *proc_output(const struct proc *p);
size_t proc_output_count(const struct proc *p, const char *text);

void harness_run(struct harness *h, uint64_t ms);
void harness_until(struct harness *h, bool (*holds)(void *arg), void *arg,
		   const char *what);
void harness_wait_listening(struct harness *h, const char *address);
void proc_wait_listening(struct proc *p, const char *address);

/* The result of a request; release it with answer_release(). */
struct answer {
	enum httpc_outcome outcome;
	int status; /* 0 if no response head was received */
	char *body; /* NUL-terminated */
	size_t len;
	json_t *json; /* the parsed body, NULL if it is not JSON */
	char *retry_after; /* or NULL */
	char *content_type; /* or NULL */
	bool over;
};

void harness_request(struct harness *h, const struct httpc_request *r,
		     struct answer *a);
void harness_call(struct harness *h, const char *method, const char *address,
		  const char *path, const char *body, struct answer *a);
void answer_release(struct answer *a);
json_t *harness_get(struct harness *h, const char *address, const char *path);
void harness_control(struct harness *h, const char *address, const char *fmt,
		     ...) __attribute__((format(printf, 3, 4)));
double harness_counter(struct harness *h, const char *address,
		       const char *series);

/* One event of a stream, as it was received. */
struct stream_event {
	char *event;
	char *id;
	char *data;
	double at_ms;
};

/* A streamed response that is read while the harness's loop runs. */
struct stream_reader;

struct stream_reader *stream_open(struct harness *h,
				  const struct httpc_request *r);
void stream_wait_events(struct stream_reader *s, size_t n);
void stream_wait_end(struct stream_reader *s);
void stream_close(struct stream_reader *s);
int stream_status(const struct stream_reader *s);
bool stream_ended(const struct stream_reader *s);
enum httpc_outcome stream_outcome(const struct stream_reader *s);
size_t stream_n_events(const struct stream_reader *s);
const struct stream_event *stream_event_at(const struct stream_reader *s,
					   size_t i);
const char *stream_body(const struct stream_reader *s);

#endif /* REGRESS_HARNESS_H */
