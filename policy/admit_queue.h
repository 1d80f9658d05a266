#ifndef POLICY_ADMIT_QUEUE_H
#define POLICY_ADMIT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/admit.h"
#include "policy/heap.h"

/* Lists of an organisation's waiting requests, in order of service. */
enum { ADMIT_LIST_RESUME, ADMIT_LIST_HIGH, ADMIT_LISTS = 4 };

struct admit_link {
	uint32_t next;
	uint32_t prev;
};

struct admit_list {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
};

struct admit_entry {
	uint64_t id;
	uint64_t digest;
	uint64_t arrived_ms;
	uint32_t org;
	uint32_t cost_ms;
	uint32_t need_ms;
	uint16_t generation; /* 12 bits; invalidates tickets of earlier uses */
	uint8_t list;
	bool used;
	struct admit_link in_org;
	struct admit_link in_resumes;
};

struct admit_org {
	uint32_t weight; /* 0: unknown organisation */
	uint32_t limit;
	uint32_t running;
	uint32_t queued;
	double virtual_start; /* of its next request */
	double held_ms; /* actual slot time of past requests, decaying */
	double expected_ms; /* expected slot time of the same requests */
	uint64_t reserved_until_ms; /* latest reserved retry time */
	struct admit_list list[ADMIT_LISTS];
};

struct admit_queue {
	uint32_t orgs_max;
	uint32_t entries_max;
	uint32_t queued;
	uint32_t queued_resumes;
	uint64_t waiting_weight; /* of organisations with waiting requests */
	double virtual_now; /* virtual start of the request that started last */
	struct admit_org *org;
	struct admit_entry *entry;
	uint32_t free_head;
	struct admit_list resumes;
	struct heap ready; /* organisations that may start a request */
	struct heap due; /* waiting requests, by latest start */
};

extern const uint32_t admit_none;

void admit_queue_init(struct admit_queue *q, uint32_t orgs_max,
		      uint32_t entries_max);
void admit_queue_release(struct admit_queue *q);
size_t admit_queue_bytes(uint32_t orgs_max, uint32_t entries_max);
uint32_t admit_queue_add(struct admit_queue *q, const struct admit_request *req,
			 bool front, uint64_t now);
void admit_queue_remove(struct admit_queue *q, uint32_t e);
void admit_queue_org_changed(struct admit_queue *q, uint32_t org);
void admit_queue_charge(struct admit_queue *q, uint32_t org, double ms);
void admit_queue_record(struct admit_queue *q, uint32_t org,
			uint32_t expected_ms, uint32_t held_ms);
uint32_t admit_queue_first(const struct admit_queue *q, uint32_t org);
uint32_t admit_queue_ahead(const struct admit_queue *q, uint32_t org,
			   uint8_t list);
uint8_t admit_queue_list(const struct admit_request *req);

#endif /* POLICY_ADMIT_QUEUE_H */
