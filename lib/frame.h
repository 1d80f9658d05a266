#ifndef LIB_FRAME_H
#define LIB_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>
#include <protobuf-c/protobuf-c.h>

#define FRAME_MAX_BYTES (8u << 20) /* of a payload */

/* A connection between two cardamomknot processes.  A frame is the payload's
 * length (4 bytes, big endian), its type (1 byte) and the packed message. */
struct frame_conn;
struct frame_server;

/* Callbacks of a connection. */
struct frame_ops {
	/* called once a connection is established or accepted; may be NULL */
	void (*on_open)(struct frame_conn *c, void *arg);
	/* returns false if the message is malformed, which closes the
	 * connection */
	bool (*on_message)(struct frame_conn *c, void *arg, uint8_t type,
			   const uint8_t *data, size_t len);
	/* called exactly once, also if connecting failed; c is freed when it
	 * returns; may be NULL */
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
size_t frame_pending(const struct frame_conn *c); /* unsent bytes */
void frame_set_data(struct frame_conn *c, void *data);
void *frame_data(const struct frame_conn *c);
void frame_close(struct frame_conn *c); /* the loop calls on_close later */

/* Finds the first frame in a buffer.  Returns its size in bytes, 0 if it is
 * incomplete, -1 if it is malformed. */
long frame_parse(const uint8_t *data, size_t len, uint8_t *type,
		 const uint8_t **payload, size_t *payload_len);

#endif /* LIB_FRAME_H */
