#ifndef PROXYD_ORIGINS_H
#define PROXYD_ORIGINS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/stream_origin.h"

struct endpoint;
struct exchange;
struct origins;
struct peer;
struct proxyd;

struct origins *origins_new(struct proxyd *p);
void origins_tick(struct origins *t);
void origins_endpoint_listed(struct origins *t, const struct endpoint *e);
void origins_endpoint_named(struct origins *t, const struct endpoint *e);
void origins_note_sent(struct origins *t, const struct exchange *x);
void origins_note_begun(struct origins *t, struct exchange *x);
void origins_tell(struct origins *t, const struct peer *peer);
void origins_receive(struct origins *t, uint64_t stream, uint64_t software);
uint64_t origins_begun_software(const struct origins *t, uint64_t stream);
uint32_t origins_write_interval_ms(const struct origins *t);
void origins_arrived(struct origins *t, struct exchange *x);
enum take_up_action origins_find(struct origins *t, struct exchange *x);
bool origins_software_stored(const struct origins *t, uint64_t software);
void origins_era_began(struct origins *t);
const struct software_history *origins_history(const struct origins *t);
bool origins_complete(const struct origins *t);
void origins_adopt_version(struct origins *t, uint64_t service,
			   uint64_t software, uint32_t listed_ms_ago);
void origins_adopt_complete(struct origins *t);
void origins_rename(struct origins *t, uint64_t from, uint64_t to);

#endif /* PROXYD_ORIGINS_H */
