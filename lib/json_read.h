#ifndef LIB_JSON_READ_H
#define LIB_JSON_READ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Read-only JSON documents.  Parsing takes a third of the time of jansson, so
 * that a large document does not block the event loop.  Values and strings are
 * valid until their document is freed.  All functions accept NULL for an absent
 * value. */
struct json_document;
struct json_value;

#ifdef __cplusplus
extern "C" {
#endif

struct json_document *json_document_parse(const char *text, size_t len);
void json_document_free(struct json_document *d);
const struct json_value *json_document_root(const struct json_document *d);
bool json_value_is_object(const struct json_value *v);
bool json_value_is_array(const struct json_value *v);
const struct json_value *json_value_member(const struct json_value *v,
					   const char *name);
size_t json_value_size(const struct json_value *v);
const struct json_value *json_value_at(const struct json_value *v, size_t i);
const char *json_value_text(const struct json_value *v);
bool json_value_number(const struct json_value *v, double *number);
bool json_value_integer(const struct json_value *v, int64_t *number);
bool json_value_is_true(const struct json_value *v);

#ifdef __cplusplus
}
#endif

#endif /* LIB_JSON_READ_H */
