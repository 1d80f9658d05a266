/*
 * Parser of the operators' file: invalid files with the exact message of each,
 * and the example files in etc/.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/config.h"
#include "lib/xalloc.h"

#define CLUSTER "[cluster]\ncursor_key = \"0123456789abcdef\"\n"
#define MODEL "[[model]]\nname = \"m\"\n"
#define SERVICE "[[service]]\nname = \"s\"\nkind = \"model\"\nmodel = \"m\"\n"
#define PLAIN "[[service]]\nname = \"p\"\nkind = \"plain\"\n"
#define ENDPOINT(name, address)                                \
	"[[endpoint]]\nname = \"" name "\"\nservice = \"s\"\n" \
	"address = \"" address "\"\nzone = \"z\"\n"
#define ORGANISATION(name, key) \
	"[[organisation]]\nname = \"" name "\"\nkey = \"" key "\"\n"

struct invalid_file {
	const char *text;
	const char *message;
};

static const struct invalid_file invalid_files[] = {
	{ MODEL, "f:1: cluster: missing, but required" },
	{ "cluster = 1\n", "f:1: cluster: must be a table" },
	{ "[cluster]\n", "f:1: cursor_key: missing, but required" },
	{ "[cluster]\ncursor_key = \"short\"\n",
	  "f:2: cursor_key: must have at least 16 characters" },
	{ CLUSTER "entries_ttl_s = 0\n",
	  "f:3: entries_ttl_s: is 0, but must be from 1 to 3600" },
	{ CLUSTER "[[modle]]\nname = \"m\"\n",
	  "f:3: modle: unknown key, did you mean model?" },
	{ CLUSTER "[model]\nname = \"m\"\n",
	  "f:3: model: must be written [[model]]" },
	{ CLUSTER "[[model]]\nnaem = \"m\"\n",
	  "f:4: naem: unknown key, did you mean name?" },
	{ CLUSTER MODEL MODEL, "f:6: name: m is taken by an earlier model" },
	{ CLUSTER PLAIN "kind = \"model\"\n", NULL },
	{ CLUSTER MODEL "[[service]]\nname = \"s\"\nkind = \"modal\"\n",
	  "f:7: kind: must be one of \"model\", \"plain\"" },
	{ CLUSTER MODEL "[[service]]\nname = \"s\"\nkind = \"model\"\n",
	  "f:5: model: missing, but required for kind \"model\"" },
	{ CLUSTER "[[model]]\nname = \"kola\"\n"
		  "[[service]]\nname = \"s\"\nkind = \"model\"\n"
		  "model = \"cola\"\n",
	  "f:8: model: no model is called cola, did you mean kola?" },
	{ CLUSTER MODEL SERVICE "idempotent = [\"GET /\"]\n",
	  "f:9: idempotent: is only for kind \"plain\"" },
	{ CLUSTER MODEL SERVICE
	  "[[service]]\nname = \"t\"\nkind = \"model\"\nmodel = \"m\"\n",
	  "f:12: model: m is taken by an earlier service" },
	{ CLUSTER MODEL PLAIN "model = \"m\"\n",
	  "f:8: model: is only for kind \"model\"" },
	{ CLUSTER PLAIN "resume = \"work\"\n",
	  "f:6: resume: is only for kind \"model\"" },
	{ CLUSTER PLAIN "idempotent = [\"get /a\"]\n",
	  "f:6: idempotent: must be written \"METHOD /path\"" },
	{ CLUSTER PLAIN "idempotent = \"GET /\"\n",
	  "f:6: idempotent: must be an array of strings" },
	{ CLUSTER ORGANISATION("o", "k") ORGANISATION("o", "l"),
	  "f:7: name: o is taken by an earlier organisation" },
	{ CLUSTER ORGANISATION("o", "k") ORGANISATION("n", "k"),
	  "f:8: key: it is taken by an earlier organisation" },
	{ CLUSTER ORGANISATION("o", "k") "weight = 0\n",
	  "f:6: weight: is 0, but must be from 0.001 to 1e+06" },
	{ CLUSTER MODEL SERVICE ORGANISATION("o", "k") "services = [\"zz\"]\n",
	  "f:12: services: no service is called zz" },
	{ CLUSTER ENDPOINT("e", "127.0.0.1:1"),
	  "f:5: service: no service is called s" },
	{ CLUSTER MODEL SERVICE ENDPOINT("e", "localhost:1"),
	  "f:12: address: must be a numeric IPv4 address and port, such as "
	  "\"10.0.0.1:8080\"" },
	{ CLUSTER MODEL SERVICE ENDPOINT("e", "127.0.0.1:1")
		  ENDPOINT("e", "127.0.0.1:2"),
	  "f:15: name: e is taken by an earlier endpoint" },
	{ CLUSTER MODEL SERVICE ENDPOINT("e", "127.0.0.1:1")
		  ENDPOINT("f", "127.0.0.1:1"),
	  "f:17: address: 127.0.0.1:1 is taken by an earlier endpoint" },
	{ CLUSTER "[[objective]]\nname = \"b\"\nmeasure = \"refusals\"\n"
		  "target = 1.0\n",
	  "f:6: target: is 1, but must be from 0.001 to 0.999999" },
	{ CLUSTER "[[objective]]\nname = \"b\"\nmeasure = \"first-token\"\n"
		  "target = 0.9\n",
	  "f:3: threshold: must be above 0 for this measure" },
	{ CLUSTER "[[objective]]\nname = \"b\"\nmeasure = \"refusals\"\n"
		  "target = 0.9\norganisation = \"x\"\n",
	  "f:7: organisation: no organisation is called x" },
};

static void test_invalid_files(void **state)
{
	char err[512];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid_files) / sizeof(invalid_files[0]); i++) {
		const struct invalid_file *b = &invalid_files[i];

		assert_null(config_parse(b->text, strlen(b->text), "f", 1, err,
					 sizeof(err)));
		if (b->message)
			assert_string_equal(err, b->message);
		else
			assert_int_equal(strncmp(err, "f:", 2), 0);
	}
}

static struct config *load_example(const char *name)
{
	const char *root = getenv("CDM_ROOT");
	char *path = xasprintf("%s/etc/%s", root ? root : ".", name);
	FILE *f = fopen(path, "r");
	static char text[1 << 16];
	char err[512] = "";
	struct config *c;
	size_t len;

	assert_non_null(f);
	len = fread(text, 1, sizeof(text), f);
	fclose(f);
	free(path);
	c = config_parse(text, len, name, 7, err, sizeof(err));
	assert_string_equal(err, "");
	assert_non_null(c);
	assert_int_equal(c->version, 7);
	return c;
}

static void test_example_ajoke(void **state)
{
	struct config *c = load_example("ajoke.toml");
	const struct config_organisation *o;

	(void)state;
	assert_int_equal(c->n_organisations, 10);
	assert_int_equal(c->n_endpoints, 23);
	assert_int_equal(c->services[0].resume, RESUME_LATENCY);
	assert_int_equal(c->services[1].kind, SERVICE_PLAIN);
	o = config_organisation_by_key(c, "replace-key-lagos-air");
	assert_non_null(o);
	assert_string_equal(o->name, "lagos-air");
	assert_null(config_organisation_by_key(c, "lagos-air"));
	assert_ptr_equal(config_service_by_model(c, "kola"), &c->services[0]);
	assert_string_equal(config_endpoint_by_name(c, "kola-20")->zone,
			    "Lekki");
	config_unref(config_ref(c));
	config_unref(c);
}

static void test_example_austral(void **state)
{
	struct config *c = load_example("austral.toml");

	(void)state;
	assert_int_equal(c->n_organisations, 10);
	assert_int_equal(c->n_endpoints, 29);
	assert_int_equal(c->services[0].resume, RESUME_WORK);
	assert_non_null(config_service_by_name(c, "despacho-app"));
	assert_null(config_service_by_name(c, "booking-api"));
	config_unref(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_files),
		cmocka_unit_test(test_example_ajoke),
		cmocka_unit_test(test_example_austral),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
