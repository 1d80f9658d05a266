#ifndef LIB_FRAME_H
#define LIB_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>
#include <protobuf-c/protobuf-c.h>

#define FRAME_MAX_BYTES (8u << 20)

/* A connection between two of our processes.  A frame is the payload's length
 * (4 bytes, big endian), its type (1 byte) and the packed message. */
struct frame_conn;
struct frame_server;

struct frame_ops {
	/* both may be NULL; on_open also tells of an accepted connection */
	void (*on_open)(struct frame_conn *c, void *arg);
	/* returns false to close the connection: the message is malformed */
	bool (*on_message)(struct frame_conn *c, void *arg, uint8_t type,
			   const uint8_t *data, size_t len);
	/* exactly once, also when connecting failed; c is gone after it */
	void (*on_close)(struct frame_conn *c, void *arg, const char *why);
};

struct frame_server *frame_listen(uv_loop_t *loop, const char *address,
				  const struct frame_ops *ops, void *arg,
				  char *err, size_t err_size);
void frame_server_close(struct frame_server *s);
struct frame_conn *frame_connect(uv_loop_t *loop, const char *address,
				 const struct frame_ops *ops, void *arg);
bool frame_send(struct frame_conn *c, uint8_t type,
		const ProtobufCMessage *message);
size_t frame_pending(const struct frame_conn *c); /* bytes unsent */
void frame_set_data(struct frame_conn *c, void *data);
void *frame_data(const struct frame_conn *c);
void frame_close(struct frame_conn *c); /* on_close is called from the loop */

/* Finds the first frame in a buffer: its whole size, 0 when incomplete, or
 * -1 when it is malformed. */
long frame_parse(const uint8_t *data, size_t len, uint8_t *type,
		 const uint8_t **payload, size_t *payload_len);

#endif /* LIB_FRAME_H */
