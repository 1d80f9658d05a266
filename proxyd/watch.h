#ifndef PROXYD_WATCH_H
#define PROXYD_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "proxyd/store.h"

struct proxyd;
struct watches;

struct watches *watches_new(struct proxyd *p);
void watches_tick(struct watches *w);
void watches_remove_entry(struct watches *w);
bool watches_starting(const struct watches *w);
bool watches_listed(const struct watches *w);
bool watches_store_reachable(const struct watches *w);
bool watches_endpoints_loaded(const struct watches *w);
bool watches_store_lost(const struct watches *w);
bool watches_designated(const struct watches *w);
bool watches_reading(const struct watches *w);
uint64_t watches_row_version(const struct watches *w, enum store_table table);
uint64_t watches_newest_row(const struct watches *w, enum store_table table);
uint32_t watches_since_recovery_ms(const struct watches *w,
				   enum store_table table);
uint64_t watches_era(const struct watches *w);
uint64_t watches_view_age_ms(const struct watches *w);
uint32_t watches_read_ms_ago(const struct watches *w);
void watches_view_told(struct watches *w, uint32_t read_ms_ago,
		       uint64_t configuration);
bool watches_era_seen(struct watches *w, uint64_t era, const char *peer);
void watches_version_seen(struct watches *w, enum store_table table,
			  uint64_t version);
void watches_row_seen(struct watches *w, enum store_table table,
		      uint64_t version, const char *peer);
void watches_change_known(struct watches *w, uint64_t version);
void watches_configuration_seen(struct watches *w, uint64_t version,
				const char *control);
void watches_rows_missed(struct watches *w, enum store_table table);
void watches_apply_change(struct watches *w, enum store_table table,
			  const struct store_change *change);

#endif /* PROXYD_WATCH_H */
