#ifndef REGRESS_HARNESS_FLEET_H
#define REGRESS_HARNESS_FLEET_H

#include "regress/harness.h"

#define FLEET_INSTANCES_MAX 16
#define FLEET_ENDPOINTS_MAX 32

/* Names in the operators' file of the fleet. */
#define FLEET_MODEL "test-model"
#define FLEET_MODEL_SERVICE "drafts"
#define FLEET_PLAIN_SERVICE "booking"

struct fleet_options {
	size_t n_instances;
	size_t n_zones; /* zone-1, zone-2, ... in turn */
	size_t n_engines;
	size_t n_services;
	size_t n_organisations; /* org-1 with key key-org-1, ... */
	bool faults; /* route each link through faultd */
	int64_t slots; /* per engine; 0: 8 */
	const char *resume; /* "latency" (NULL) or "work" */
	int64_t model_timeout_ms; /* of the model service; 0: the default */
	const char *engine_args[8]; /* more options; end with NULL */
	const char *service_args[8];
	const char *platform_args[8];
	const char *config; /* more lines of the operators' file, or NULL */
	const char *cluster; /* more lines of its [cluster] table, or NULL */
	const char *fleetd_settings; /* more lines, or NULL */
	const char *entryd_settings;
};

struct fleet_instance {
	char name[32];
	char zone[32];
	const char *control; /* of the cdmfleetd */
	const char *advertised; /* where peers connect */
	const char *operator_address; /* of the cdmfleetd */
	const char *entry; /* where it listens for callers */
	const char *entry_advertised; /* where callers connect */
	const char *entry_operator; /* of the cdmentryd */
	const char *platform; /* where this instance connects */
	struct proc *fleetd;
	struct proc *entryd;
};

struct fleet_endpoint {
	char name[32];
	char zone[32];
	char kind[16]; /* the stand-in's program */
	const char *address; /* of the stand-in itself */
	const char
		*control; /* accepts control requests while address refuses */
	const char *advertised; /* as configured */
	struct proc *proc;
};

/* A complete system of real processes. */
struct fleet {
	struct harness *harness;
	struct fleet_options options;
	const char *platform;
	const char *faults; /* control address of the faultd, or NULL */
	struct proc *platformd;
	struct proc *faultd;
	struct fleet_instance instances[FLEET_INSTANCES_MAX];
	struct fleet_endpoint engines[FLEET_ENDPOINTS_MAX];
	struct fleet_endpoint services[FLEET_ENDPOINTS_MAX];
};

struct fleet *harness_fleet(struct harness *h,
			    const struct fleet_options *options);
void fleet_free(struct fleet *f); /* harness_free() ends the processes */
void fleet_start_fleetd(struct fleet *f, size_t i);
void fleet_start_entryd(struct fleet *f, size_t i);
void fleet_start_endpoint(struct fleet *f, struct fleet_endpoint *e);
int fleet_apply(struct fleet *f, size_t i, const char *file);
const char *fleet_write_config(struct fleet *f, const char *name);
void fleet_wait_serving(struct fleet *f, size_t i);
void fleet_set_faults(struct fleet *f, const char *mapping, const char *fmt,
		      ...) __attribute__((format(printf, 3, 4)));
int64_t fleet_runs(struct fleet *f, const char *key);
int64_t fleet_prompt_runs(struct fleet *f, const char *prompt);

#endif /* REGRESS_HARNESS_FLEET_H */
