/*
 * Encodes and decodes a claim's row in the platform's table, as JSON.
 */
#include "entryd/claim_row.h"

#include <inttypes.h>
#include <jansson.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

static bool parse_hex64(const json_t *json, const char *key, uint64_t *out);
static bool parse_answer(const json_t *json, struct claim_record *r);

/* Returns the row's JSON text, which the caller frees.  The answer is included
 * if the row says that it is kept. */
char *claim_record_text(const struct claim_record *r, const char *instance)
{
	char nonce[17];
	char body[17];
	char *encoded;
	char *text;
	json_t *json;

	snprintf(nonce, sizeof(nonce), "%016" PRIx64, r->row.nonce);
	snprintf(body, sizeof(body), "%016" PRIx64, r->row.body_digest);
	json = json_pack("{s:s, s:s, s:s, s:b, s:b}", "nonce", nonce, "body",
			 body, "by", instance, "answered", r->row.answered,
			 "kept", r->row.answer_kept);
	if (r->row.answer_kept) {
		encoded = xcalloc(r->answer_len / 3 + 2, 4);
		EVP_EncodeBlock((unsigned char *)encoded,
				(unsigned char *)r->answer, (int)r->answer_len);
		json_object_set_new(json, "status", json_integer(r->status));
		json_object_set_new(json, "type", json_string(r->type));
		json_object_set_new(json, "length",
				    json_integer((json_int_t)r->answer_len));
		json_object_set_new(json, "answer", json_string(encoded));
		free(encoded);
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/* Parses a row.  Returns false if it is not a claim's row; r then owns no
 * memory. */
bool claim_record_parse(const char *text, size_t len, struct claim_record *r)
{
	json_t *json = json_loadb(text, len, 0, NULL);
	bool ok;

	memset(r, 0, sizeof(*r));
	ok = json && parse_hex64(json, "nonce", &r->row.nonce) &&
	     parse_hex64(json, "body", &r->row.body_digest);
	if (ok) {
		r->row.answered =
			json_is_true(json_object_get(json, "answered"));
		r->row.answer_kept =
			json_is_true(json_object_get(json, "kept")) &&
			parse_answer(json, r);
	}
	json_decref(json);
	return ok;
}

/* Frees the memory of a record and clears it. */
void claim_record_release(struct claim_record *r)
{
	free(r->type);
	free(r->answer);
	memset(r, 0, sizeof(*r));
}

/* Parses a string of 16 lower-case hexadecimal digits. */
static bool parse_hex64(const json_t *json, const char *key, uint64_t *out)
{
	const char *text = json_string_value(json_object_get(json, key));

	if (!text || strlen(text) != 16 ||
	    strspn(text, "0123456789abcdef") != 16)
		return false;
	*out = strtoull(text, NULL, 16);
	return true;
}

/* Decodes the stored answer.  Returns false if it is malformed or too long. */
static bool parse_answer(const json_t *json, struct claim_record *r)
{
	const char *text = json_string_value(json_object_get(json, "answer"));
	const char *type = json_string_value(json_object_get(json, "type"));
	json_int_t len = json_integer_value(json_object_get(json, "length"));
	size_t size;
	int n;

	if (!text || !type || len < 0 || len > CLAIM_ANSWER_MAX)
		return false;
	size = strlen(text);
	r->answer = xcalloc(size + 1, 1);
	n = EVP_DecodeBlock((unsigned char *)r->answer, (unsigned char *)text,
			    (int)size);
	if (n < len)
		return false;
	r->answer_len = (size_t)len;
	r->status = (int)json_integer_value(json_object_get(json, "status"));
	r->type = xstrdup(type);
	return true;
}
