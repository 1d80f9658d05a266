#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLIENT_SERVERS_MAX 16

/* How a call ended. */
enum client_outcome {
	CLIENT_OK, /* there is an answer */
	CLIENT_UNREACHABLE, /* no server got the request */
	CLIENT_LOST, /* sent, but the answer didn't come */
};

/* The operators' addresses to try, in order. */
struct client {
	const char *servers[CLIENT_SERVERS_MAX];
	size_t n_servers;
	const char *last_server; /* that answered last */
};

struct client_answer {
	enum client_outcome outcome;
	int status;
	json_t *json; /* NULL if the answer isn't JSON */
	char error[512]; /* a sentence, unless the status is 200 */
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
