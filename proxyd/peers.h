#ifndef PROXYD_PEERS_H
#define PROXYD_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/request_limit.h"
#include "policy/store_poll.h"
#include "proxyd/store.h"

struct endpoint;
struct peer;
struct peers;
struct proxyd;
struct run_crash;
struct suspect_update;

/* The store entry of an instance, with its name. */
struct peer_info {
	const char *name;
	struct instance_entry entry;
};

/* Another instance that can serve a request in place of this one. */
struct peer_relay {
	uint64_t instance; /* hash of its name */
	const char *name; /* as in the table, until it changes */
	const char *callers; /* address */
	uint64_t
		reached_ms_ago; /* when an endpoint of the service answered it */
};

struct peers *peers_new(struct proxyd *p, char *err, size_t err_size);
void peers_tick(struct peers *t);
void peers_apply_row(struct peers *t, const struct store_row *row);
void peers_remove_unlisted(struct peers *t, const struct store_row *rows,
			   size_t n, bool from_copy);
void peers_note_own_row(struct peers *t, const struct store_row *rows,
			size_t n);
void peers_announce_lost(struct peers *t, const char *endpoint);
void peers_announce_found(struct peers *t, const char *endpoint);
void peers_announce_leaving(struct peers *t, const char *endpoint,
			    uint64_t born_ms);
void peers_announce_prompt(struct peers *t, uint64_t session,
			   uint64_t endpoint);
void peers_borrow(struct peers *t, const char *service, uint32_t repeats);
void peers_announce_work(struct peers *t, struct endpoint *e, bool begins);
void peers_announce_suspect(struct peers *t, const struct suspect_update *news);
void peers_send_suspect(struct peers *t, const struct peer *peer,
			const struct suspect_update *news);
void peers_announce_parts(struct peers *t, const struct run_crash *crash,
			  const uint64_t *parts, size_t n);
void peers_send_parts(struct peers *t, const struct peer *to,
		      const uint64_t *parts, size_t n);
bool peers_is_record_keeper(const struct peers *t, uint64_t content);
bool peers_all_keep_records(const struct peers *t);
bool peers_is_first_keeper(const struct peers *t, uint64_t content);
void peers_announce_origin(struct peers *t, uint64_t stream, uint64_t software);
void peers_send_origin(struct peers *t, const struct peer *to, uint64_t stream,
		       uint64_t software);
void peers_ask_origin(struct peers *t, uint64_t stream);
void peers_announce_write(struct peers *t, uint64_t version);
void peers_announce_soon(struct peers *t);
void peers_announce_now(struct peers *t);
void peers_announce_rows(struct peers *t, enum store_table table,
			 uint64_t after, uint64_t version,
			 const struct store_row *rows, size_t n);
uint64_t peers_version(const struct peers *t);
bool peers_listed_before(const struct peers *t);
struct request_limit_instances peers_rank(const struct peers *t,
					  uint64_t endpoint, uint32_t holders);
void peers_announce_limits(struct peers *t, const struct peer *to,
			   struct endpoint *const *endpoints, size_t n);
size_t peers_ask_permits(struct peers *t, struct endpoint *e, uint32_t permits);
bool peers_permits_pending(const struct endpoint *e);
size_t peers_list(const struct peers *t, struct peer_info *list, size_t most);
struct store_poll_others peers_store_readers(const struct peers *t);
size_t peers_alive(const struct peers *t);
size_t peers_listed(const struct peers *t);
bool peers_configured(const struct peers *t);
bool peers_choose_relay(const struct peers *t, const char *service,
			const uint64_t *avoided, size_t n_avoided,
			struct peer_relay *relay);
bool peers_alone(const struct peers *t);
bool peers_reached_since(const struct peers *t, const char *service,
			 uint64_t since_ms);
bool peers_relay_silent(const struct peers *t, uint64_t instance,
			uint64_t silent_ms);
bool peers_omit_cut_off(const struct peers *t);
size_t peers_addresses(const struct peers *t, bool omit_cut_off,
		       const char **addresses, size_t most);
size_t peers_addresses_stopping(const struct peers *t, const char **addresses,
				size_t most);

#endif /* PROXYD_PEERS_H */
