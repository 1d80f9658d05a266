#ifndef EMULATOR_FAULT_LINK_H
#define EMULATOR_FAULT_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <uv.h>

struct chunk;
struct fault_link;

enum fault_mode {
	MODE_PASS,
	MODE_CUT,
	MODE_FREEZE,
	MODE_DROP_UP,
	MODE_DROP_DOWN,
	MODE_HANG,
	MODE_REFUSE,
};

struct direction {
	struct fault_link *owner;
	uv_tcp_t *from;
	uv_tcp_t *to;
	bool to_caller; /* from the target to the caller */
	bool reading;
	bool eof_read; /* end of stream was read */
	bool eof_sent; /* end of stream was sent */
	size_t queued_bytes; /* delayed or being written */
	size_t n_writes; /* unfinished writes */
	uv_shutdown_t shutdown;
	STAILQ_HEAD(chunk_queue, chunk) chunks;
};

struct fault_link {
	TAILQ_ENTRY(fault_link) link;
	struct fault_mapping *mapping;
	uv_tcp_t caller;
	uv_tcp_t target;
	uv_connect_t connect;
	struct direction directions[2]; /* to the target, to the caller */
	bool connecting;
	bool connected;
	bool closing;
	bool reset_when_written;
	bool silent; /* for good, whatever the mode */
	int open_handles;
};

struct fault_mapping {
	char *address;
	char *target;
	uv_loop_t *loop;
	uv_tcp_t *listener; /* NULL while connections are refused */
	uv_timer_t tick;
	enum fault_mode mode;
	double delay_ms;
	int64_t reset_after_bytes; /* bytes left towards callers; 0: off */
	uint64_t accepted;
	uint64_t bytes_up;
	uint64_t bytes_down;
	TAILQ_HEAD(link_list, fault_link) links;
	int full_listener; /* socket while new connections hang; -1: none */
	int filler; /* connection that fills its queue */
};

void fault_link_accept(struct fault_mapping *m);
void fault_link_update(struct fault_link *l);
void fault_link_reset(struct fault_link *l);
void fault_mapping_tick(struct fault_mapping *m);

#endif /* EMULATOR_FAULT_LINK_H */
