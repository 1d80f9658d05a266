#ifndef ENTRYD_CLAIM_ROW_H
#define ENTRYD_CLAIM_ROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/claim.h"

#define CLAIM_ANSWER_MAX (64u << 10) /* bytes; longer answers are not stored */

/* A claim's row with the stored answer, if any. */
struct claim_record {
	struct claim_row row;
	int status;
	char *type;
	char *answer;
	size_t answer_len;
};

char *claim_record_text(const struct claim_record *r, const char *instance);
bool claim_record_parse(const char *text, size_t len, struct claim_record *r);
void claim_record_release(struct claim_record *r);

#endif /* ENTRYD_CLAIM_ROW_H */
