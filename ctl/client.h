#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLIENT_SERVERS_MAX 16

/* Result of a call. */
enum client_outcome {
	CLIENT_OK, /* an answer was received, of any status */
	CLIENT_UNREACHABLE, /* the connection failed, nothing was sent */
	CLIENT_LOST, /* sent, but no answer was received */
};

/* Operators' addresses of cdmfleetds, tried in order. */
struct client {
	const char *servers[CLIENT_SERVERS_MAX];
	size_t n_servers;
	const char *last_server; /* the server that answered last */
};

struct client_answer {
	enum client_outcome outcome;
	int status;
	json_t *json; /* NULL if the answer isn't JSON */
	char error[512]; /* the reason, unless the status is 200 */
};

void client_call(struct client *c, const char *method, const char *path,
		 const void *body, size_t len, struct client_answer *answer);
void client_get(const char *address, const char *path,
		struct client_answer *answer);
void client_release(struct client_answer *answer);
char *client_url_encode(const char *word);
void client_sleep(uint64_t ms);
uint64_t client_now_ms(void);

#endif /* CTL_CLIENT_H */
