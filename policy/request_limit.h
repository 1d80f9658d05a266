#ifndef POLICY_REQUEST_LIMIT_H
#define POLICY_REQUEST_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define REQUEST_LIMIT_NEVER UINT32_MAX /* a time that is not known to come */

/* The limit of an endpoint on the requests per second from all instances
 * together, and this instance's permits to send requests there. */
struct request_limit {
	bool in_force; /* named, or rising since it is no longer named */
	double per_s; /* as named last */
	uint64_t since_ms; /* in force since */
	uint64_t named_ms; /* when it was last named, as known here */
	uint64_t ended_ms; /* when it began to rise; 0: it is named */
	uint64_t ended_sent_ms; /* when the request whose answer showed the end
				 * was sent */
	double permits; /* of this instance's part; may be below 0 */
	uint64_t filled_ms; /* when permits was last updated */
	uint32_t borrowed; /* permits lent by other instances */
	uint64_t borrowed_until_ms;
};

/* This instance's part of a limit, which a few instances divide among them. */
struct request_limit_part {
	bool held; /* this instance has a part */
	bool counted;
	uint32_t rank; /* among the instances; 0 is the first */
	uint32_t holders; /* instances that have a part, 1 or more */
	uint32_t alive; /* of these, not silent */
	uint64_t from_ms; /* no permits come before: another instance may have
			   * held the part until shortly before */
};

/* What decides the division, as this instance sees it. */
struct request_limit_instances {
	uint32_t rank; /* of this instance among those listed */
	uint32_t holders;
	uint32_t alive; /* of the holders */
	bool counted; /* the others count this instance, and it stays */
	uint64_t start_ms; /* when its process started */
	bool returns; /* it was listed before: its part is nobody else's */
};

/* The source of a permit that was taken. */
enum request_permit {
	PERMIT_NOT_NEEDED, /* no limit was in force */
	PERMIT_OWN,
	PERMIT_BORROWED,
};

uint32_t request_limit_holders(double per_s, uint32_t instances);
uint64_t request_limit_weight(uint64_t endpoint, uint64_t instance);
void request_limit_divide(struct request_limit_part *part,
			  const struct request_limit_instances *seen,
			  uint64_t now);
uint32_t request_limit_ask_interval_ms(uint32_t instances);
bool request_limit_named(struct request_limit *l,
			 const struct request_limit_part *part, double per_s,
			 uint64_t named_ms, uint64_t now);
bool request_limit_not_named(struct request_limit *l, uint64_t sent_ms,
			     uint64_t now);
uint32_t request_limit_tell_ms(double before, double per_s,
			       uint64_t told_ms_ago);
void request_limit_tick(struct request_limit *l, uint64_t now);
double request_limit_per_s(const struct request_limit *l, uint64_t now);
uint32_t request_limit_available(struct request_limit *l,
				 const struct request_limit_part *part,
				 uint64_t now);
enum request_permit request_limit_take(struct request_limit *l,
				       const struct request_limit_part *part,
				       uint64_t now);
void request_limit_return(struct request_limit *l, enum request_permit permit);
uint32_t request_limit_lend(struct request_limit *l,
			    const struct request_limit_part *part,
			    uint32_t wanted, uint64_t now);
bool request_limit_add_loan(struct request_limit *l, uint32_t permits,
			    uint64_t asked_ms, uint64_t now);
uint32_t request_limit_wait_ms(struct request_limit *l,
			       const struct request_limit_part *part,
			       uint32_t ahead, uint64_t now);

#endif /* POLICY_REQUEST_LIMIT_H */
