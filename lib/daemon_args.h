#ifndef LIB_DAEMON_ARGS_H
#define LIB_DAEMON_ARGS_H

#include <stdbool.h>

/* The command line that all daemons have. */
struct daemon_args {
	const char *file; /* of the settings */
	bool check_only;
};

void daemon_args_parse(int argc, char **argv, const char *doc,
		       struct daemon_args *args);

#endif /* LIB_DAEMON_ARGS_H */
