#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include "ctl/client.h"

/* Exit statuses, documented in cdmctl(1). */
enum {
	EXIT_DONE = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_CONFLICT = 3, /* another version was accepted instead */
	EXIT_PARTIAL = 4, /* accepted, but not yet in force everywhere */
};

/* The parsed command line; unused fields are zero. */
struct command {
	struct client client;
	bool json;
	bool html;
	bool undo;
	const char *author;
	int64_t base; /* version to follow; -1: the one in force */
	int64_t wait_s;
	const char *args[4]; /* after the command's name */
	size_t n_args;
};

int command_plan(struct command *c);
int command_apply(struct command *c);
int command_status(struct command *c);
int command_drain(struct command *c);
int command_explain(struct command *c);
int command_report(struct command *c);

/* Helpers of the commands, in common.c. */
int print_failure(const struct client_answer *answer);
char *read_file(const char *path, size_t *len);
void print_json(const json_t *json);
const char *get_string(const json_t *object, const char *key);
json_int_t get_integer(const json_t *object, const char *key);
void print_changes(const json_t *changes);
json_t *entry_addresses(struct command *c);

#endif /* CTL_COMMAND_H */
