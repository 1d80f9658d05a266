/*
 * Reads TOML by toml++ into a plain tree that C code walks.  No C library for
 * TOML is packaged; this file is the whole of our C++.
 */
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "lib/toml.h"
#include "lib/xalloc.h"
}

namespace
{

char *dup(std::string_view s)
{
	return xstrndup(s.data(), s.size());
}

void fill(struct toml_node *out, const toml::node &node);

/* Copies the elements of an array. */
void fill_array(struct toml_node *out, const toml::array &array)
{
	size_t i = 0;

	out->type = TOML_ARRAY;
	out->n_children = array.size();
	out->children = static_cast<struct toml_node *>(
		xcalloc(array.size(), sizeof(*out->children)));
	for (const auto &element : array)
		fill(&out->children[i++], element);
}

/* Copies a table's values with their keys, in the order of the keys. */
void fill_table(struct toml_node *out, const toml::table &table)
{
	size_t i = 0;

	out->type = TOML_TABLE;
	out->n_children = table.size();
	out->children = static_cast<struct toml_node *>(
		xcalloc(table.size(), sizeof(*out->children)));
	for (const auto &[key, value] : table) {
		fill(&out->children[i], value);
		out->children[i].key = dup(key.str());
		out->children[i].line =
			static_cast<int>(key.source().begin.line);
		i++;
	}
}

/* Copies one value and all below it. */
void fill(struct toml_node *out, const toml::node &node)
{
	out->line = static_cast<int>(node.source().begin.line);
	out->type = TOML_OTHER;
	if (const auto *table = node.as_table()) {
		fill_table(out, *table);
	} else if (const auto *array = node.as_array()) {
		fill_array(out, *array);
	} else if (const auto *s = node.as_string()) {
		out->type = TOML_STRING;
		out->string = dup(s->get());
	} else if (const auto *n = node.as_integer()) {
		out->type = TOML_INTEGER;
		out->integer = n->get();
	} else if (const auto *f = node.as_floating_point()) {
		out->type = TOML_FLOAT;
		out->floating = f->get();
	} else if (const auto *b = node.as_boolean()) {
		out->type = TOML_BOOLEAN;
		out->boolean = b->get();
	}
}

/* Frees what a node owns, but not the node itself. */
void release(struct toml_node *node)
{
	for (size_t i = 0; i < node->n_children; i++)
		release(&node->children[i]);
	free(node->children);
	free(node->key);
	free(node->string);
}

}

/*
 * Parses len bytes of text; file names it in messages.  Returns the root
 * table, or NULL with a message "FILE:LINE: what is wrong" in err.
 */
extern "C" struct toml_node *toml_parse(const char *text, size_t len,
					const char *file, char *err,
					size_t err_size)
{
	toml::parse_result result = toml::parse(std::string_view(text, len));

	if (!result) {
		const toml::parse_error &e = result.error();
		std::string what(e.description());

		snprintf(err, err_size, "%s:%u: %s", file,
			 static_cast<unsigned>(e.source().begin.line),
			 what.c_str());
		return nullptr;
	}
	auto *root = static_cast<struct toml_node *>(
		xcalloc(1, sizeof(struct toml_node)));
	fill(root, result.table());
	root->line = 1;
	return root;
}

/* Reads and parses a file; errors as for toml_parse(). */
extern "C" struct toml_node *toml_parse_file(const char *file, char *err,
					     size_t err_size)
{
	FILE *f = fopen(file, "rb");
	std::string text;
	char buf[8192];
	size_t n;

	if (!f) {
		snprintf(err, err_size, "%s: %s", file, strerror(errno));
		return nullptr;
	}
	while ((n = fread(buf, 1, sizeof(buf), f)) > 0)
		text.append(buf, n);
	if (ferror(f)) {
		snprintf(err, err_size, "%s: reading failed", file);
		fclose(f);
		return nullptr;
	}
	fclose(f);
	return toml_parse(text.data(), text.size(), file, err, err_size);
}

/* Returns the value of a key of a table, or NULL. */
extern "C" const struct toml_node *toml_get(const struct toml_node *table,
					    const char *key)
{
	for (size_t i = 0; i < table->n_children; i++)
		if (table->children[i].key &&
		    !strcmp(table->children[i].key, key))
			return &table->children[i];
	return nullptr;
}

/* Frees a tree returned by toml_parse(); NULL is passed over. */
extern "C" void toml_free(struct toml_node *root)
{
	if (!root)
		return;
	release(root);
	free(root);
}
