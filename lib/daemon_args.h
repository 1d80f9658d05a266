#ifndef LIB_DAEMON_ARGS_H
#define LIB_DAEMON_ARGS_H

#include <stdbool.h>

/* Parsed command line of a daemon. */
struct daemon_args {
	const char *file; /* settings file */
	bool check_only; /* exit after checking the settings */
};

void daemon_args_parse(int argc, char **argv, const char *doc,
		       struct daemon_args *args);

#endif /* LIB_DAEMON_ARGS_H */
