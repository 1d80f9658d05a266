/*
 * C interface to RapidJSON documents, for reading only.
 */
#include "lib/json_read.h"

#include <cstdlib>
#include <cstring>
#include <new>

#include <rapidjson/document.h>

/* Input from outside the process may nest without limit, so the parser must not
 * recurse.  Strings must be valid UTF-8. */
static constexpr unsigned PARSE_FLAGS = rapidjson::kParseIterativeFlag |
					rapidjson::kParseValidateEncodingFlag;

struct json_document {
	rapidjson::Document document;
};

/* Converts the opaque C type to RapidJSON's value. */
static const rapidjson::Value *value_of(const struct json_value *v)
{
	return reinterpret_cast<const rapidjson::Value *>(v);
}

/* Converts RapidJSON's value to the opaque C type. */
static const struct json_value *opaque(const rapidjson::Value *v)
{
	return reinterpret_cast<const struct json_value *>(v);
}

/* Parses len bytes of text; returns NULL unless it is exactly one JSON
 * value. */
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

/* Returns the top-level value, or NULL if d is NULL. */
const struct json_value *json_document_root(const struct json_document *d)
{
	return d ? opaque(&d->document) : nullptr;
}

/* Returns whether v is an object. */
bool json_value_is_object(const struct json_value *v)
{
	return v && value_of(v)->IsObject();
}

/* Returns whether v is an array. */
bool json_value_is_array(const struct json_value *v)
{
	return v && value_of(v)->IsArray();
}

/* Returns the member called name, or NULL if it is absent or v is no object. */
const struct json_value *json_value_member(const struct json_value *v,
					   const char *name)
{
	if (!json_value_is_object(v))
		return nullptr;

	auto member = value_of(v)->FindMember(name);

	return member == value_of(v)->MemberEnd() ? nullptr
						  : opaque(&member->value);
}

/* Returns the number of items of an array, or 0 if v is no array. */
size_t json_value_size(const struct json_value *v)
{
	return json_value_is_array(v) ? value_of(v)->Size() : 0;
}

/* Returns item i of an array, or NULL if it is out of range. */
const struct json_value *json_value_at(const struct json_value *v, size_t i)
{
	if (i >= json_value_size(v))
		return nullptr;
	return opaque(&(*value_of(v))[static_cast<rapidjson::SizeType>(i)]);
}

/* Returns the string, or NULL if v is no string or contains a NUL byte. */
const char *json_value_text(const struct json_value *v)
{
	if (!v || !value_of(v)->IsString() ||
	    std::strlen(value_of(v)->GetString()) !=
		    value_of(v)->GetStringLength())
		return nullptr;
	return value_of(v)->GetString();
}

/* Stores the number in *number; returns false if v is no number. */
bool json_value_number(const struct json_value *v, double *number)
{
	if (!v || !value_of(v)->IsNumber())
		return false;
	*number = value_of(v)->GetDouble();
	return true;
}

/* Stores the integer in *number; returns false if v is no integer that fits. */
bool json_value_integer(const struct json_value *v, int64_t *number)
{
	if (!v || !value_of(v)->IsInt64())
		return false;
	*number = value_of(v)->GetInt64();
	return true;
}

/* Returns whether v is the literal true. */
bool json_value_is_true(const struct json_value *v)
{
	return v && value_of(v)->IsTrue();
}
