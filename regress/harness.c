/*
 * The test harness: starts processes, reserves ports, writes files and waits
 * for conditions.
 */
#include "regress/harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

/* Below the system's range of ephemeral ports. */
#define LISTEN_BACKLOG 128 /* of harness_listen() */
#define FIRST_PORT 20000
#define N_PORTS 12000
#define MAX_ADDRESSES 1024
#define MAX_ARGS 256
#define POLL_MS 2
#define LOG_TAIL_BYTES 2000
#define CLOSE_ITERATIONS_MAX 100 /* loop iterations to close its handles in */

struct harness {
	uv_loop_t loop;
	struct httpc *client;
	uv_timer_t timer;
	char dir[256];
	struct proc *procs;
	char *addresses[MAX_ADDRESSES];
	int reserved[MAX_ADDRESSES]; /* bound sockets that reserve the ports */
	size_t n_addresses;
	char **paths; /* of the files written */
	size_t n_paths;
	struct harness *unclosed; /* next in the list of that name */
};

static int reserve_port(unsigned port);
static void run_child(char *const *argv, const struct proc *p);
static bool check_log(const struct proc *p);
static void reap(struct proc *p, int options);
static void print_logs(const struct harness *h);
static char *read_file(const char *path);
static int remove_entry(const char *path, const struct stat *st, int flag,
			struct FTW *ftw);
static void on_timer(uv_timer_t *timer);

/* The next port to try, shared by successive harnesses of one process. */
static unsigned next_port;

/* Harnesses whose loops could not be closed because a server in the test
 * process still uses them; kept until the process exits. */
static struct harness *unclosed;

/* Creates a harness with an empty directory. */
struct harness *harness_new(void)
{
	struct harness *h = xcalloc(1, sizeof(*h));
	const char *tmp = getenv("TMPDIR");

	snprintf(h->dir, sizeof(h->dir), "%s/cdm-test-XXXXXX",
		 tmp ? tmp : "/tmp");
	assert_non_null(mkdtemp(h->dir));
	uv_loop_init(&h->loop);
	uv_timer_init(&h->loop, &h->timer);
	h->client = httpc_new(&h->loop);
	signal(SIGPIPE, SIG_IGN);
	if (!next_port)
		next_port = (unsigned)getpid() * 97 % N_PORTS;
	return h;
}

/* Kills and reaps the remaining processes and removes the directory, unless
 * HARNESS_KEEP is set in the environment.  Fails the test if the log of one of
 * its processes has a sanitizer report or a failed assertion. */
void harness_free(struct harness *h)
{
	bool clean = true;
	int iterations;
	size_t i;

	while (h->procs) {
		struct proc *p = h->procs;

		proc_kill(p);
		clean = check_log(p) && clean;
		h->procs = p->next;
		free(p->name);
		free(p->log_path);
		free(p->out_path);
		free(p);
	}
	httpc_free(h->client);
	uv_close((uv_handle_t *)&h->timer, NULL);
	for (iterations = 0;
	     iterations < CLOSE_ITERATIONS_MAX && uv_loop_close(&h->loop);
	     iterations++)
		uv_run(&h->loop, UV_RUN_NOWAIT);
	for (i = 0; i < h->n_addresses; i++) {
		close(h->reserved[i]);
		free(h->addresses[i]);
	}
	for (i = 0; i < h->n_paths; i++)
		free(h->paths[i]);
	free(h->paths);
	if (!getenv("HARNESS_KEEP"))
		nftw(h->dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
	if (iterations < CLOSE_ITERATIONS_MAX) {
		free(h);
	} else {
		h->unclosed = unclosed;
		unclosed = h;
	}
	assert_true(clean);
}

/* Returns whether a process's log is free of sanitizer reports and failed
 * assertions; prints the log if it is not. */
static bool check_log(const struct proc *p)
{
	static const char *const marks[] = {
		"Sanitizer",
		"runtime error:",
		"Assertion",
	};
	char *text = proc_log(p);
	bool clean = true;
	size_t i;

	for (i = 0; i < sizeof(marks) / sizeof(marks[0]); i++)
		clean = clean && !strstr(text, marks[i]);
	if (!clean)
		print_error("--- %s\n%s\n", p->name, text);
	free(text);
	return clean;
}

/* Returns the event loop that runs while the harness waits. */
uv_loop_t *harness_loop(struct harness *h)
{
	return &h->loop;
}

/* Returns the HTTP client on that loop. */
struct httpc *harness_client(struct harness *h)
{
	return h->client;
}

/* Returns the path of the test's directory. */
const char *harness_dir(const struct harness *h)
{
	return h->dir;
}

/* Returns a free address that is reserved until the test ends.  A socket that
 * is bound but does not listen keeps other tests off the port, while a server
 * that sets SO_REUSEADDR can listen on it. */
const char *harness_address(struct harness *h)
{
	unsigned tries;

	assert_true(h->n_addresses < MAX_ADDRESSES);
	for (tries = 0; tries < N_PORTS; tries++) {
		unsigned port = FIRST_PORT + next_port++ % N_PORTS;
		int fd = reserve_port(port);

		if (fd < 0)
			continue;
		h->reserved[h->n_addresses] = fd;
		h->addresses[h->n_addresses] = xasprintf("127.0.0.1:%u", port);
		return h->addresses[h->n_addresses++];
	}
	fail_msg("no free port");
	return NULL;
}

/* Listens on an address of the loopback interface in the harness's loop, for a
 * stand-in whose bytes the test writes itself; data is that of the listener. */
void harness_listen(struct harness *h, uv_tcp_t *listener, const char *address,
		    uv_connection_cb on_connection, void *data)
{
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;

	assert_true(address_parse(address, host, sizeof(host), &port));
	uv_ip4_addr(host, port, &sin);
	uv_tcp_init(harness_loop(h), listener);
	listener->data = data;
	assert_int_equal(
		uv_tcp_bind(listener, (const struct sockaddr *)&sin, 0), 0);
	assert_int_equal(uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG,
				   on_connection),
			 0);
}

/* Binds a port; returns the socket, -1 if the port is in use. */
static int reserve_port(unsigned port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	if (bind(fd, (const struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	return fd;
}

/* Writes a file in the test's directory and returns its path. */
const char *harness_file(struct harness *h, const char *name, const char *fmt,
			 ...)
{
	char *path = xasprintf("%s/%s", h->dir, name);
	FILE *f = fopen(path, "w");
	va_list ap;

	assert_non_null(f);
	va_start(ap, fmt);
	vfprintf(f, fmt, ap);
	va_end(ap);
	fclose(f);
	h->paths = xreallocarray(h->paths, h->n_paths + 1, sizeof(*h->paths));
	h->paths[h->n_paths++] = path;
	return path;
}

/* Starts a program of $CDM_BIN with a NULL-terminated list of arguments; its
 * output goes to files. */
struct proc *harness_startv(struct harness *h, const char *name,
			    const char *program, const char *const *args)
{
	struct proc *p = xcalloc(1, sizeof(*p));
	const char *bin = getenv("CDM_BIN");
	char *argv[MAX_ARGS + 2] = { NULL };
	size_t n;

	assert_non_null(bin);
	argv[0] = xasprintf("%s/%s", bin, program);
	for (n = 0; n < MAX_ARGS && args[n]; n++)
		argv[n + 1] = xstrdup(args[n]);
	p->harness = h;
	p->name = xstrdup(name);
	p->log_path = xasprintf("%s/%s.log", h->dir, name);
	p->out_path = xasprintf("%s/%s.out", h->dir, name);
	p->next = h->procs;
	h->procs = p;
	p->pid = fork();
	assert_true(p->pid >= 0);
	if (p->pid == 0)
		run_child(argv, p);
	for (n = 0; argv[n]; n++)
		free(argv[n]);
	return p;
}

/* Executes the program in the child process.  The kernel kills it if the test
 * exits without clean-up. */
static void run_child(char *const *argv, const struct proc *p)
{
	int log = open(p->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	int out = open(p->out_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGPIPE, SIG_DFL); /* the program has to ignore it itself */
	dup2(log, STDERR_FILENO);
	dup2(out, STDOUT_FILENO);
	execv(argv[0], argv);
	dprintf(STDERR_FILENO, "cannot execute %s: %s\n", argv[0],
		strerror(errno));
	_exit(127);
}

/* Reaps a process that has exited and stores its exit code. */
static void reap(struct proc *p, int options)
{
	int status;

	if (!p->pid || waitpid(p->pid, &status, options) != p->pid)
		return;
	p->pid = 0;
	p->exit_code = WIFEXITED(status) ? WEXITSTATUS(status)
					 : 128 + WTERMSIG(status);
}

/* Returns whether a process is still running. */
bool proc_running(struct proc *p)
{
	reap(p, WNOHANG);
	return p->pid != 0;
}

/* Returns whether a process has exited. */
static bool has_exited(void *arg)
{
	return !proc_running(arg);
}

/* Waits for a process to exit and returns its exit code. */
int proc_wait(struct proc *p)
{
	char what[128];

	snprintf(what, sizeof(what), "%s exits", p->name);
	harness_until(p->harness, has_exited, p, what);
	return p->exit_code;
}

/* Stops a process by SIGTERM and returns its exit code. */
int proc_stop(struct proc *p)
{
	proc_signal(p, SIGTERM);
	return proc_wait(p);
}

/* Kills and reaps a process. */
void proc_kill(struct proc *p)
{
	if (!proc_running(p))
		return;
	kill(p->pid, SIGKILL);
	reap(p, 0);
}

/* Sends a signal to a process if it is running. */
void proc_signal(struct proc *p, int signum)
{
	if (proc_running(p))
		kill(p->pid, signum);
}

/* Returns what a process wrote to standard error. */
char *proc_log(const struct proc *p)
{
	return read_file(p->log_path);
}

/* Returns what a process wrote to standard output. */
char *proc_output(const struct proc *p)
{
	return read_file(p->out_path);
}

/* Returns how often a text stands in what a process wrote to standard output. */
size_t proc_output_count(const struct proc *p, const char *text)
{
	char *output = proc_output(p);
	const char *at;
	size_t n = 0;

	for (at = output; (at = strstr(at, text)); at++)
		n++;
	free(output);
	return n;
}

/* Returns a file's content, an empty string if it cannot be read. */
static char *read_file(const char *path)
{
	FILE *f = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	if (f && getdelim(&text, &size, '\0', f) < 0) {
		free(text);
		text = NULL;
	}
	if (f)
		fclose(f);
	return text ? text : xstrdup("");
}

/* Runs the loop for the given milliseconds. */
void harness_run(struct harness *h, uint64_t ms)
{
	uv_timer_start(&h->timer, on_timer, ms, 0);
	uv_run(&h->loop, UV_RUN_DEFAULT);
}

/* Stops the loop when the time of harness_run() is over. */
static void on_timer(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

/* Runs the loop until a condition holds; fails the test after HARNESS_WAIT_MS,
 * with the end of each process's log. */
void harness_until(struct harness *h, bool (*holds)(void *arg), void *arg,
		   const char *what)
{
	uint64_t start = uv_hrtime();

	while (!holds(arg)) {
		if ((uv_hrtime() - start) / 1000000 > HARNESS_WAIT_MS) {
			print_logs(h);
			fail_msg("timed out after %d ms: %s", HARNESS_WAIT_MS,
				 what);
		}
		harness_run(h, POLL_MS);
	}
}

/* Returns whether an address accepts connections. */
static bool accepts_connections(void *arg)
{
	const char *address = arg;
	const char *colon = strchr(address, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool good;

	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	good = connect(fd, (const struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return good;
}

/* Waits until a server listens at an address. */
void harness_wait_listening(struct harness *h, const char *address)
{
	char *copy = xstrdup(address);
	char what[128];

	snprintf(what, sizeof(what), "a server listens at %s", address);
	harness_until(h, accepts_connections, copy, what);
	free(copy);
}

/* A process and the address that it is expected to listen at. */
struct listening {
	struct proc *proc;
	char *address;
};

/* Returns whether a process listens or has exited. */
static bool listens_or_exited(void *arg)
{
	struct listening *l = arg;

	return !proc_running(l->proc) || accepts_connections(l->address);
}

/* Waits until a process listens at an address; fails if it exits first. */
void proc_wait_listening(struct proc *p, const char *address)
{
	struct listening l = { p, xstrdup(address) };
	char what[128];

	snprintf(what, sizeof(what), "%s listens at %s", p->name, address);
	harness_until(p->harness, listens_or_exited, &l, what);
	free(l.address);
	if (proc_running(p))
		return;
	print_logs(p->harness);
	fail_msg("%s exited with code %d", p->name, p->exit_code);
}

/* Prints the end of each process's log. */
static void print_logs(const struct harness *h)
{
	const struct proc *p;

	for (p = h->procs; p; p = p->next) {
		char *text = proc_log(p);
		size_t len = strlen(text);
		size_t skip = len > LOG_TAIL_BYTES ? len - LOG_TAIL_BYTES : 0;

		print_error("--- %s (%s)\n%s\n", p->name,
			    p->pid ? "running" : "exited", text + skip);
		free(text);
	}
}

/* Removes one file or directory, for nftw(). */
static int remove_entry(const char *path, const struct stat *st, int flag,
			struct FTW *ftw)
{
	(void)st;
	(void)flag;
	(void)ftw;
	return remove(path);
}
