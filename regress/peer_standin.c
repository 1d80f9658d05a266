/*
 * Datagrams of an instance that a test simulates.
 */
#include "regress/peer_standin.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/deflate.h"
#include "lib/xalloc.h"
#include "proto/peer.pb-c.h"

#define TABLE_ENDPOINTS 1 /* enum store_table */

static void send_datagram(const struct standin_instance *to,
			  const PeerDatagram *d);

/* Sends a pulse. */
void peer_standin_pulse(const struct standin_instance *to,
			const struct peer_standin_pulse *p)
{
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerPulse pulse = PEER_PULSE__INIT;
	PeerFound found = PEER_FOUND__INIT;
	PeerFound *list[] = { &found };

	pulse.instance = (char *)p->name;
	pulse.born = p->born_ms;
	pulse.version = p->version;
	pulse.leaving = p->leaving;
	if (p->worker) {
		found.id = (char *)p->found;
		found.address = (char *)p->worker->address;
		found.service = (char *)p->worker->service;
		found.zone = (char *)p->worker->zone;
		pulse.found = list;
		pulse.n_found = 1;
	}
	d.pulse = &pulse;
	send_datagram(to, &d);
}

/* Forwards an entry, as the only change of the table since its begin. */
void peer_standin_forward(const struct standin_instance *to,
			  const struct peer_standin_entry *e)
{
	PeerDatagram d = PEER_DATAGRAM__INIT;
	PeerPacked packed = PEER_PACKED__INIT;
	PeerRows rows = PEER_ROWS__INIT;
	PeerRow row = PEER_ROW__INIT;
	PeerRow *list[] = { &row };
	char *text = xasprintf("{\"backend\":\"plain\",\"address\":\"%s\","
			       "\"zone\":\"z1\",\"version\":\"v1\","
			       "\"slots\":16,\"state\":\"%s\",\"born\":%u}",
			       e->worker->address, e->state,
			       e->worker->born_ms);
	uint8_t *plain;

	row.key = (char *)e->worker->id;
	row.value.data = (uint8_t *)text;
	row.value.len = strlen(text);
	rows.instance = (char *)e->name;
	rows.table = TABLE_ENDPOINTS;
	rows.version = e->version;
	rows.store_era = e->era;
	rows.rows = list;
	rows.n_rows = 1;
	plain = xcalloc(peer_rows__get_packed_size(&rows), 1);
	packed.len = (uint32_t)peer_rows__pack(&rows, plain);
	packed.message.data =
		deflate_bytes(plain, packed.len, &packed.message.len);
	d.rows = &packed;
	send_datagram(to, &d);
	free(packed.message.data);
	free(plain);
	free(text);
}

/* Returns how often an instance has logged that the entry of a worker began, was
 * of another start or changed its state, and named it as leaving or not. */
size_t peer_standin_logged_entries(const struct standin_instance *in,
				   const struct standin_worker *worker,
				   bool leaving)
{
	char *log = proc_output(in->proc);
	char *id = xasprintf("\"endpoint\":\"%s\"", worker->id);
	const char *at = log;
	size_t n = 0;

	while ((at = strstr(at, "\"event\":\"endpoint-entry\""))) {
		char *line = xstrndup(at, strcspn(at, "\n"));

		n += strstr(line, id) &&
		     strstr(line,
			    leaving ? "\"leaving\":true" : "\"leaving\":false");
		free(line);
		at++;
	}
	free(id);
	free(log);
	return n;
}

/* Sends a datagram to an instance. */
static void send_datagram(const struct standin_instance *to,
			  const PeerDatagram *d)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	size_t len = peer_datagram__get_packed_size(d);
	uint8_t *out = xcalloc(len, 1);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	peer_datagram__pack(d, out);
	sin.sin_port = htons((uint16_t)atoi(strchr(to->peers, ':') + 1));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(sendto(fd, out, len, 0, (struct sockaddr *)&sin,
				sizeof(sin)),
			 len);
	close(fd);
	free(out);
}
