/*
 * cdmctl: operates a cardamomknot fleet.  Parses the command line and runs the
 * command.
 */
#include <argp.h>
#include <bsd/stdlib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/command.h"

#define DEFAULT_SERVER "127.0.0.1:7201"
#define DEFAULT_WAIT_S 14

enum {
	KEY_HTML = 256,
};

/* One command with the number of arguments that it takes. */
struct subcommand {
	const char *name;
	int (*run)(struct command *c);
	size_t min_args;
	size_t max_args;
	const char *usage;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static void add_server(struct command *c, char *arg, struct argp_state *state);
static int64_t parse_number(const char *arg, const char *what,
			    struct argp_state *state);
static void add_argument(struct command *c, char *arg,
			 struct argp_state *state);
static const struct subcommand *find_subcommand(const char *name);

const char *argp_program_version = "cdmctl 0.1";

static const struct subcommand subcommands[] = {
	{ "plan", command_plan, 1, 1, "plan FILE" },
	{ "apply", command_apply, 1, 1, "apply FILE" },
	{ "status", command_status, 0, 0, "status" },
	{ "drain", command_drain, 2, 2, "drain endpoint|instance NAME" },
	{ "undrain", command_drain, 2, 2, "undrain endpoint|instance NAME" },
	{ "explain", command_explain, 1, 1, "explain REQUEST" },
	{ "report", command_report, 1, 1, "report burn" },
};
#define N_SUBCOMMANDS (sizeof(subcommands) / sizeof(subcommands[0]))

static const struct argp_option options[] = {
	{ .name = "server",
	  .key = 's',
	  .arg = "ADDRESS",
	  .doc = "operators' address of a cdmfleetd; repeat the option for "
		 "fallback addresses (default " DEFAULT_SERVER ")" },
	{ .name = "json", .key = 'j', .doc = "print JSON" },
	{ .name = "html",
	  .key = KEY_HTML,
	  .doc = "report burn: print a page with plots" },
	{ .name = "author",
	  .key = 'a',
	  .arg = "NAME",
	  .doc = "apply: author of the version (default $USER)" },
	{ .name = "base",
	  .key = 'b',
	  .arg = "VERSION",
	  .doc = "apply: version that the file is based on (default: the one "
		 "in force)" },
	{ .name = "wait",
	  .key = 'w',
	  .arg = "SECONDS",
	  .doc = "apply: how long to wait until all instances have the file "
		 "in force (default 14)" },
	{ .name = NULL },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.args_doc = "COMMAND ...",
	.doc = "Operates a cardamomknot fleet.\v"
	       "Commands:\n"
	       "  plan FILE                        show what a file would change\n"
	       "  apply FILE                       commit a file and wait for it\n"
	       "  status                           show the state of the fleet\n"
	       "  drain endpoint|instance NAME     stop sending it new work\n"
	       "  undrain endpoint|instance NAME   cancel a drain\n"
	       "  explain REQUEST                  show the events of a request\n"
	       "  report burn                      show objectives and error budgets\n"
	       "\n"
	       "Exit status: 0 success, 1 failure, 2 usage error, 3 another "
	       "version was accepted instead, 4 accepted but not yet in "
	       "force in every instance.",
};

/* Adds an operators' address to try. */
static void add_server(struct command *c, char *arg, struct argp_state *state)
{
	if (c->client.n_servers == CLIENT_SERVERS_MAX)
		argp_error(state, "more than %d servers", CLIENT_SERVERS_MAX);
	else
		c->client.servers[c->client.n_servers++] = arg;
}

/* Parses a nonnegative number; exits with a usage error if it is invalid. */
static int64_t parse_number(const char *arg, const char *what,
			    struct argp_state *state)
{
	const char *why;
	int64_t n = strtonum(arg, 0, INT64_MAX - 1, &why);

	if (why)
		argp_error(state, "%s: \"%s\" is %s", what, arg, why);
	return n;
}

/* Adds a positional argument. */
static void add_argument(struct command *c, char *arg, struct argp_state *state)
{
	if (c->n_args == sizeof(c->args) / sizeof(c->args[0]))
		argp_error(state, "too many arguments");
	else
		c->args[c->n_args++] = arg;
}

/* Handles one option or argument for argp. */
static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct command *c = state->input;

	switch (key) {
	case 's':
		add_server(c, arg, state);
		return 0;
	case 'j':
		c->json = true;
		return 0;
	case KEY_HTML:
		c->html = true;
		return 0;
	case 'a':
		c->author = arg;
		return 0;
	case 'b':
		c->base = parse_number(arg, "base", state);
		return 0;
	case 'w':
		c->wait_s = parse_number(arg, "wait", state);
		return 0;
	case ARGP_KEY_ARG:
		add_argument(c, arg, state);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns the command with the given name, or NULL. */
static const struct subcommand *find_subcommand(const char *name)
{
	size_t i;

	for (i = 0; i < N_SUBCOMMANDS; i++)
		if (!strcmp(subcommands[i].name, name))
			return &subcommands[i];
	return NULL;
}

int main(int argc, char **argv)
{
	struct command c = { .base = -1, .wait_s = DEFAULT_WAIT_S };
	const struct subcommand *sub;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&parser, argc, argv, 0, NULL, &c);
	sub = find_subcommand(c.args[0]);
	if (!sub) {
		fprintf(stderr,
			"cdmctl: no command is called %s; see "
			"cdmctl --help\n",
			c.args[0]);
		return EXIT_USAGE;
	}
	c.n_args--;
	memmove(c.args, c.args + 1, c.n_args * sizeof(c.args[0]));
	if (c.n_args < sub->min_args || c.n_args > sub->max_args) {
		fprintf(stderr, "cdmctl: usage: cdmctl %s\n", sub->usage);
		return EXIT_USAGE;
	}
	if (!c.client.n_servers)
		c.client.servers[c.client.n_servers++] = DEFAULT_SERVER;
	c.undo = !strcmp(sub->name, "undrain");
	return sub->run(&c);
}
