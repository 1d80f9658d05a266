/*
 * Reads JSON by RapidJSON into documents that C code walks.
 */
#include "lib/json_read.h"

#include <cstdlib>
#include <cstring>
#include <new>

#include <rapidjson/document.h>

/* A text from outside may nest as deep as it likes, so that the stack is not
 * used; strings must be UTF-8. */
static constexpr unsigned PARSE_FLAGS = rapidjson::kParseIterativeFlag |
					rapidjson::kParseValidateEncodingFlag;

struct json_document {
	rapidjson::Document document;
};

/* The library's value, seen from C. */
static const rapidjson::Value *value_of(const struct json_value *v)
{
	return reinterpret_cast<const rapidjson::Value *>(v);
}

static const struct json_value *opaque(const rapidjson::Value *v)
{
	return reinterpret_cast<const struct json_value *>(v);
}

/* Parses a text; NULL if it is not one JSON value and nothing else. */
struct json_document *json_document_parse(const char *text, size_t len)
{
	struct json_document *d = new (std::nothrow) json_document;

	if (!d)
		std::abort();
	d->document.Parse<PARSE_FLAGS>(text, len);
	if (!d->document.HasParseError())
		return d;
	delete d;
	return nullptr;
}

/* Frees a document; NULL is allowed. */
void json_document_free(struct json_document *d)
{
	delete d;
}

/* Returns the value that the text is; NULL for no document. */
const struct json_value *json_document_root(const struct json_document *d)
{
	return d ? opaque(&d->document) : nullptr;
}

bool json_value_is_object(const struct json_value *v)
{
	return v && value_of(v)->IsObject();
}

bool json_value_is_array(const struct json_value *v)
{
	return v && value_of(v)->IsArray();
}

/* Returns a member of an object; NULL if it is absent. */
const struct json_value *json_value_member(const struct json_value *v,
					   const char *name)
{
	if (!json_value_is_object(v))
		return nullptr;

	auto member = value_of(v)->FindMember(name);

	return member == value_of(v)->MemberEnd() ? nullptr
						  : opaque(&member->value);
}

/* Returns the number of an array's items, 0 if it is none. */
size_t json_value_size(const struct json_value *v)
{
	return json_value_is_array(v) ? value_of(v)->Size() : 0;
}

/* Returns an item of an array; NULL beyond its end. */
const struct json_value *json_value_at(const struct json_value *v, size_t i)
{
	if (i >= json_value_size(v))
		return nullptr;
	return opaque(&(*value_of(v))[static_cast<rapidjson::SizeType>(i)]);
}

/* Returns a string; NULL if it is none, or holds a zero byte. */
const char *json_value_text(const struct json_value *v)
{
	if (!v || !value_of(v)->IsString() ||
	    std::strlen(value_of(v)->GetString()) !=
		    value_of(v)->GetStringLength())
		return nullptr;
	return value_of(v)->GetString();
}

/* Gives a number; false if it is none. */
bool json_value_number(const struct json_value *v, double *number)
{
	if (!v || !value_of(v)->IsNumber())
		return false;
	*number = value_of(v)->GetDouble();
	return true;
}

/* Gives a whole number that fits; false if it is none. */
bool json_value_integer(const struct json_value *v, int64_t *number)
{
	if (!v || !value_of(v)->IsInt64())
		return false;
	*number = value_of(v)->GetInt64();
	return true;
}

bool json_value_is_true(const struct json_value *v)
{
	return v && value_of(v)->IsTrue();
}
