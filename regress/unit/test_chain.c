/* Unit tests of emulator/chain.c. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "emulator/chain.h"

#define PROMPT "draft a handover note"
#define N_TOKENS 6

/* Makes N_TOKENS tokens of one engine, and two of another engine that resumes
 * after the first three. */
static void make(char tokens[N_TOKENS + 2][CHAIN_TOKEN_SIZE])
{
	struct chain a;
	struct chain b;
	size_t i;

	chain_start(&a, PROMPT, strlen(PROMPT));
	chain_start(&b, PROMPT, strlen(PROMPT));
	for (i = 0; i < N_TOKENS; i++) {
		chain_make_token(&a, 0x6f0a91c2, tokens[i]);
		if (i < 3)
			chain_append(&b, tokens[i], strlen(tokens[i]), i + 1);
	}
	chain_make_token(&b, 0x1, tokens[N_TOKENS]);
	chain_make_token(&b, 0x1, tokens[N_TOKENS + 1]);
}

static enum chain_fault check(const char *prompt, const char *text)
{
	struct chain c;
	size_t i;

	chain_start(&c, prompt, strlen(prompt));
	for (i = 0; text[i]; i++)
		chain_check(&c, text + i, 1);
	return chain_finish(&c);
}

/* Answers made of tokens 0 to 5 of one engine and 6 and 7 of the other. */
static void test_checker(void **state)
{
	static const struct {
		const char *order;
		enum chain_fault fault;
	} cases[] = {
		{ "012345", CHAIN_GOOD },
		{ "", CHAIN_GOOD },
		{ "01267", CHAIN_GOOD }, /* a correct resume */
		{ "01245", CHAIN_MISSING },
		{ "12345", CHAIN_MISSING },
		{ "0122345", CHAIN_REPEATED },
		{ "012345012345", CHAIN_REPEATED },
		{ "012645", CHAIN_FOREIGN }, /* a splice */
		{ "01237", CHAIN_FOREIGN },
		{ "012675", CHAIN_FOREIGN },
	};
	char tokens[N_TOKENS + 2][CHAIN_TOKEN_SIZE];
	char text[1024];
	const char *p;
	size_t i;

	(void)state;
	make(tokens);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		text[0] = '\0';
		for (p = cases[i].order; *p; p++)
			strcat(text, tokens[*p - '0']);
		assert_int_equal(check(PROMPT, text), cases[i].fault);
	}
	assert_int_equal(check("another prompt", tokens[0]), CHAIN_FOREIGN);
}

static void test_malformed_tokens(void **state)
{
	static const struct {
		const char *text;
		enum chain_fault fault;
	} cases[] = {
		{ "word ", CHAIN_MALFORMED },
		{ " ", CHAIN_MALFORMED },
		{ "0.6f0a91c2.41d6c07be2aa931 ", CHAIN_MALFORMED },
		{ "0.6f0a91c2.41d6c07be2aa93100 ", CHAIN_MALFORMED },
		{ "0.6F0A91C2.41d6c07be2aa9310 ", CHAIN_MALFORMED },
		{ "-1.6f0a91c2.41d6c07be2aa9310 ", CHAIN_MALFORMED },
		{ "99999999999999999999999.6f0a91c2.41d6c07be2aa9310 ",
		  CHAIN_MALFORMED },
		{ "0000000000000000000000000000000000000000000000000000",
		  CHAIN_MALFORMED },
		{ "0.6f0a91c2.41d6c07be2aa9310 ", CHAIN_FOREIGN },
		{ "0.6f0a91c2.41d6c07be2aa9310", CHAIN_TORN },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(check(PROMPT, cases[i].text), cases[i].fault);
}

static void test_token_text(void **state)
{
	char token[CHAIN_TOKEN_SIZE];
	char expected[CHAIN_TOKEN_SIZE];
	struct chain c;
	size_t len;

	(void)state;
	chain_start(&c, PROMPT, strlen(PROMPT));
	chain_append(&c, "text", 4, 1234567);
	len = chain_make_token(&c, 0xab, token);
	assert_int_equal(len, strlen(token));
	snprintf(expected, sizeof(expected), "1234567.000000ab.%016llx ",
		 (unsigned long long)XXH64(PROMPT "\0text000000ab",
					   sizeof(PROMPT "\0text000000ab") - 1,
					   0));
	assert_string_equal(token, expected);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_checker),
		cmocka_unit_test(test_malformed_tokens),
		cmocka_unit_test(test_token_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
