/* Fuzzes the parser of claim rows, as the platform's table returns them. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/claim_row.h"
#include "regress/fuzz/fuzz.h"

/* Aborts unless a parsed record, formatted and parsed again, is the same. */
static void round_trip(const struct claim_record *r)
{
	struct claim_record again;
	char *text = claim_record_text(r, "fuzz-1");

	if (!text || !claim_record_parse(text, strlen(text), &again))
		abort();
	if (again.row.nonce != r->row.nonce ||
	    again.row.body_digest != r->row.body_digest ||
	    again.row.answered != r->row.answered ||
	    again.row.answer_kept != r->row.answer_kept)
		abort();
	if (r->row.answer_kept &&
	    (again.status != r->status || strcmp(again.type, r->type) != 0 ||
	     again.answer_len != r->answer_len ||
	     memcmp(again.answer, r->answer, r->answer_len) != 0))
		abort();
	claim_record_release(&again);
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct claim_record r;

	if (claim_record_parse((const char *)data, size, &r))
		round_trip(&r);
	claim_record_release(&r);
	return 0;
}
