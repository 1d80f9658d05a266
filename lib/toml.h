#ifndef LIB_TOML_H
#define LIB_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum toml_type {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOLEAN,
	TOML_OTHER, /* dates and times, which no setting uses */
};

/* A value with its line in the file; children of tables have a key. */
struct toml_node {
	enum toml_type type;
	int line;
	char *key; /* NULL for array elements and the root */
	char *string;
	int64_t integer;
	double floating;
	bool boolean;
	struct toml_node *children;
	size_t n_children;
};

struct toml_node *toml_parse(const char *text, size_t len, const char *file,
			     char *err, size_t err_size);
struct toml_node *toml_parse_file(const char *file, char *err, size_t err_size);
const struct toml_node *toml_get(const struct toml_node *table,
				 const char *key);
void toml_free(struct toml_node *root);

#endif /* LIB_TOML_H */
