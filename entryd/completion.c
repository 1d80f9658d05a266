/*
 * Parses requests in the commonly published completion format.
 */
#include "entryd/completion.h"

#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/orgs.h"
#include "lib/xalloc.h"

#define MAX_TOKENS_DEFAULT 256
#define MAX_TOKENS_LIMIT 1000000
#define DEADLINE_DEFAULT_MS 10000 /* for the first token */
#define DEADLINE_MAX_MS 3600000

static char *join_messages(const json_t *messages);
static bool parse_body(const json_t *json, bool chat,
		       struct generation_params *params, char *why,
		       size_t why_size);
static bool parse_headers(struct entryd *e, struct httpd_req *req,
			  struct generation_params *params, char *why,
			  size_t why_size);

bool completion_parse(struct entryd *e, struct httpd_req *req, bool chat,
		      struct generation_params *params, char *model,
		      size_t model_size, char *why, size_t why_size)
{
	json_error_t error;
	const char *name;
	const char *body;
	json_t *json;
	size_t len;
	bool ok;

	memset(params, 0, sizeof(*params));
	body = httpd_body(req, &len);
	json = json_loadb(body, len, 0, &error);
	if (!json_is_object(json)) {
		snprintf(why, why_size,
			 "The body is not a JSON object: line %d, column %d: "
			 "%.100s",
			 json ? 1 : error.line, json ? 1 : error.column,
			 json ? "another type" : error.text);
		json_decref(json);
		return false;
	}
	name = json_string_value(json_object_get(json, "model"));
	ok = name && strlcpy(model, name, model_size) < model_size;
	if (!ok)
		snprintf(why, why_size, "\"model\" must name a model.");
	ok = ok && parse_body(json, chat, params, why, why_size) &&
	     parse_headers(e, req, params, why, why_size);
	json_decref(json);
	if (!ok)
		generation_params_release(params);
	return ok;
}

/* Limits max_tokens to the organisation's maximum. */
void completion_limit(const struct entryd *e, uint32_t org,
		      struct generation_params *params)
{
	const struct config_organisation *o =
		&e->config->organisations[org_at(e, org)->config_index];

	if (o->max_tokens && params->max_tokens > o->max_tokens)
		params->max_tokens = (uint32_t)o->max_tokens;
}

/* Parses the fields of the body.  On failure, returns false with an error
 * message in why. */
static bool parse_body(const json_t *json, bool chat,
		       struct generation_params *params, char *why,
		       size_t why_size)
{
	const json_t *prompt = json_object_get(json, "prompt");
	const json_t *messages = json_object_get(json, "messages");
	const json_t *max_tokens = json_object_get(json, "max_tokens");
	const json_t *received = json_object_get(json, "received_text");
	json_int_t n = MAX_TOKENS_DEFAULT;

	if (chat)
		params->prompt = join_messages(messages);
	else if (json_is_string(prompt))
		params->prompt = xstrdup(json_string_value(prompt));
	if (!params->prompt || !*params->prompt) {
		snprintf(why, why_size,
			 chat ? "\"messages\" must be an array of objects with "
				"\"role\" and \"content\"."
			      : "\"prompt\" must be a string, not empty.");
		return false;
	}
	if (max_tokens)
		n = json_integer_value(max_tokens);
	if (n < 1 || n > MAX_TOKENS_LIMIT) {
		snprintf(why, why_size,
			 "\"max_tokens\" must be a whole number from 1 to %d.",
			 MAX_TOKENS_LIMIT);
		return false;
	}
	params->max_tokens = (uint32_t)n;
	params->stream = json_is_true(json_object_get(json, "stream"));
	params->chat = chat;
	params->priority = ADMIT_NORMAL;
	if (json_is_string(received)) {
		params->received_len = json_string_length(received);
		params->received = xmemdup(json_string_value(received),
					   params->received_len);
	}
	return true;
}

/* Parses the deadline and cursor headers.  On failure, returns false with an
 * error message in why. */
static bool parse_headers(struct entryd *e, struct httpd_req *req,
			  struct generation_params *params, char *why,
			  size_t why_size)
{
	const char *deadline = httpd_header(req, "x-deadline-ms");
	const char *cursor = httpd_header(req, "last-event-id");
	const char *error = NULL;
	uint64_t ms = DEADLINE_DEFAULT_MS;

	if (deadline)
		ms = (uint64_t)strtonum(deadline, 1, DEADLINE_MAX_MS, &error);
	if (error) {
		snprintf(why, why_size,
			 "X-Deadline-Ms must be a whole number from 1 to %d.",
			 DEADLINE_MAX_MS);
		return false;
	}
	params->deadline_ms = entryd_now(e) + ms;
	if (cursor && !params->stream) {
		snprintf(why, why_size,
			 "Last-Event-ID goes with \"stream\": true only.");
		return false;
	}
	if (cursor)
		params->last_event_id = xstrdup(cursor);
	return true;
}

/* Joins the messages into one prompt.  Returns NULL if they are malformed. */
static char *join_messages(const json_t *messages)
{
	const json_t *message;
	char *text = NULL;
	size_t len = 0;
	size_t i;
	FILE *f;

	if (!json_is_array(messages) || !json_array_size(messages))
		return NULL;
	f = open_memstream(&text, &len);
	if (!f)
		return NULL;
	json_array_foreach(messages, i, message)
	{
		const char *role =
			json_string_value(json_object_get(message, "role"));
		const char *content =
			json_string_value(json_object_get(message, "content"));

		if (!role || !content) {
			fclose(f);
			free(text);
			return NULL;
		}
		fprintf(f, "%s: %s\n", role, content);
	}
	fclose(f);
	return text;
}
