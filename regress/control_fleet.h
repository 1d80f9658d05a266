#ifndef REGRESS_CONTROL_FLEET_H
#define REGRESS_CONTROL_FLEET_H

#include "regress/harness.h"

#define CONTROL_MAX 40 /* instances; the proxy has two mappings for each */

/* One cdmfleetd, which reaches its peers and the platform through the fault
 * proxy.  The version in force is read at each wait and must never decrease. */
struct control_instance {
	char name[32];
	const char *control;
	const char *advertised; /* control, through the proxy */
	const char *operator_address;
	const char *platform; /* through the proxy */
	struct proc *proc;
	bool paused; /* by SIGSTOP; can't answer requests */
	double version; /* as read last */
};

/* A fleet of cdmfleetds without cdmentryds. */
struct control_fleet {
	struct harness *h;
	size_t n;
	size_t n_zones;
	const char *platform;
	const char *faults; /* control address of the proxy */
	struct control_instance instances[CONTROL_MAX];
	/* what the current wait expects: a version or a count */
	double wait_value;
};

struct control_fleet *control_fleet_new(size_t n, size_t n_zones);
void control_fleet_free(struct control_fleet *f);
void control_start(struct control_fleet *f, size_t i);
void control_pause(struct control_fleet *f, size_t i, bool paused);
void control_set_link_mode(struct control_fleet *f, const char *address,
			   const char *mode);
void control_set_platform(struct control_fleet *f, const char *settings);
const char *control_write_config(struct control_fleet *f, const char *name,
				 const char *more);
struct proc *control_start_cdmctl(struct control_fleet *f, size_t i,
				  const char *const *args);
int control_apply(struct control_fleet *f, size_t i, const char *file,
		  const char *wait_s);
void control_check_versions(struct control_fleet *f);
void control_wait_version(struct control_fleet *f, double version);
void control_wait_members(struct control_fleet *f, size_t n);
json_t *control_status(struct control_fleet *f, size_t i);
double control_counter(struct control_fleet *f, size_t i, const char *name);

#endif /* REGRESS_CONTROL_FLEET_H */
