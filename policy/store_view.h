#ifndef POLICY_STORE_VIEW_H
#define POLICY_STORE_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How old an instance's view of the store is.  Times in ms by its clock. */
struct store_view {
	/* it knows all changes that the store had acknowledged by then; 0: the
	 * tables have not been read */
	uint64_t read_ms; /* by answers to its own calls */
	uint64_t told_ms; /* by what other instances have told */
	uint64_t asked_ms; /* when a renewal by own calls began; 0: none */
	uint32_t patience_ms; /* before the next one, if it fails */
	bool old; /* the view is over STORE_VIEW_OLD_MS old */
};

/* A change of the configuration takes effect within 2 s. */
#define STORE_VIEW_OLD_MS 1500

bool store_view_read(struct store_view *v, uint64_t ms);
void store_view_told(struct store_view *v, uint64_t ms);
void store_view_reset(struct store_view *v);
uint64_t store_view_age_ms(const struct store_view *v, uint64_t now);
bool store_view_aged(struct store_view *v, uint64_t now);
bool store_view_renewal_due(struct store_view *v, size_t preceding,
			    size_t instances, uint64_t now);
bool store_view_old_changes(struct store_view *v, uint64_t now);

#endif /* POLICY_STORE_VIEW_H */
