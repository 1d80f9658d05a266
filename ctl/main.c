/*
 * cdmctl: the operator's command.
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

/* One command and what may follow its name. */
struct subcommand {
	const char *name;
	int (*run)(struct command *c);
	size_t min_words;
	size_t max_words;
	const char *usage;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static void add_server(struct command *c, char *arg, struct argp_state *state);
static int64_t parse_number(const char *arg, const char *what,
			    struct argp_state *state);
static void add_word(struct command *c, char *arg, struct argp_state *state);
static const struct subcommand *find(const char *name);

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
	  .doc = "operators' address of a cdmfleetd; repeat it for others to "
		 "fall back to (default " DEFAULT_SERVER ")" },
	{ .name = "json", .key = 'j', .doc = "print JSON" },
	{ .name = "html",
	  .key = KEY_HTML,
	  .doc = "report burn: print a page with plots" },
	{ .name = "author",
	  .key = 'a',
	  .arg = "NAME",
	  .doc = "apply: who is named as the author (default $USER)" },
	{ .name = "base",
	  .key = 'b',
	  .arg = "VERSION",
	  .doc = "apply: the version that the file is meant to follow (default "
		 "the one in force)" },
	{ .name = "wait",
	  .key = 'w',
	  .arg = "SECONDS",
	  .doc = "apply: how long to wait until the file is in force "
		 "everywhere (default 14)" },
	{ .name = NULL },
};

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.args_doc = "COMMAND ...",
	.doc = "Operates a cardamomknot fleet.\v"
	       "Commands:\n"
	       "  plan FILE                        what a file would change\n"
	       "  apply FILE                       put a file in force\n"
	       "  status                           the fleet as it is seen\n"
	       "  drain endpoint|instance NAME     have it leave\n"
	       "  undrain endpoint|instance NAME   undo it\n"
	       "  explain REQUEST                  what happened to a request\n"
	       "  report burn                      objectives and their budgets\n"
	       "\n"
	       "Exit status: 0 done, 1 failed, 2 wrong usage, 3 another "
	       "version won the race, 4 accepted but not yet in force "
	       "everywhere.",
};

/* Adds an operators' address. */
static void add_server(struct command *c, char *arg, struct argp_state *state)
{
	if (c->client.n_servers == CLIENT_SERVERS_MAX)
		argp_error(state, "more than %d servers", CLIENT_SERVERS_MAX);
	else
		c->client.servers[c->client.n_servers++] = arg;
}

/* Reads a number of 0 or more. */
static int64_t parse_number(const char *arg, const char *what,
			    struct argp_state *state)
{
	const char *why;
	int64_t n = strtonum(arg, 0, INT64_MAX - 1, &why);

	if (why)
		argp_error(state, "%s: \"%s\" is %s", what, arg, why);
	return n;
}

/* Adds a word that is no option. */
static void add_word(struct command *c, char *arg, struct argp_state *state)
{
	if (c->n_args == sizeof(c->args) / sizeof(c->args[0]))
		argp_error(state, "too many arguments");
	else
		c->args[c->n_args++] = arg;
}

/* Takes one option or word. */
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
		add_word(c, arg, state);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns the command of the name, or NULL. */
static const struct subcommand *find(const char *name)
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
	sub = find(c.args[0]);
	if (!sub) {
		fprintf(stderr,
			"cdmctl: no command is called %s; see "
			"cdmctl --help\n",
			c.args[0]);
		return EXIT_USAGE;
	}
	c.n_args--;
	memmove(c.args, c.args + 1, c.n_args * sizeof(c.args[0]));
	if (c.n_args < sub->min_words || c.n_args > sub->max_words) {
		fprintf(stderr, "cdmctl: usage: cdmctl %s\n", sub->usage);
		return EXIT_USAGE;
	}
	if (!c.client.n_servers)
		c.client.servers[c.client.n_servers++] = DEFAULT_SERVER;
	c.undo = !strcmp(sub->name, "undrain");
	return sub->run(&c);
}
