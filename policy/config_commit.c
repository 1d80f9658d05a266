/*
 * An operator's commit of a configuration.
 *
 * One transaction replaces the head row of version `base` and inserts the row
 * of version `base` + 1, which is immutable.  That row resolves races and lost
 * answers: the command whose nonce it carries has won, even if later versions
 * have been committed since.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "policy/config_adopt.h"

/*
 * Starts a commit; `nonce` is a random number other than 0.
 */
void config_commit_init(struct config_commit *c, uint64_t base, uint64_t nonce,
			uint64_t digest)
{
	assert(nonce != 0);
	memset(c, 0, sizeof(*c));
	c->state = CONFIG_COMMIT_WRITE;
	c->base = base;
	c->nonce = nonce;
	c->digest = digest;
}

/*
 * Records the result of the transaction.  A conflict is resolved by a read too,
 * since an earlier attempt of the same commit may have caused it.
 */
void config_commit_answered(struct config_commit *c,
			    enum config_commit_result result)
{
	assert(c->state == CONFIG_COMMIT_WRITE);
	c->attempts++;
	switch (result) {
	case CONFIG_COMMIT_OK:
		c->state = CONFIG_COMMIT_WON;
		return;
	case CONFIG_COMMIT_CONFLICT:
	case CONFIG_COMMIT_NO_ANSWER:
		c->state = CONFIG_COMMIT_READ;
		return;
	case CONFIG_COMMIT_FAILED:
		return;
	}
	abort();
}

/*
 * Records the content of the row of version `base` + 1.  Without such a row the
 * transaction has had no effect so far.  It is sent again with the same nonce,
 * so that a late first attempt and the second can't both take effect.
 */
void config_commit_read(struct config_commit *c,
			const struct config_version_row *row)
{
	assert(c->state == CONFIG_COMMIT_READ);
	if (row->version == 0) {
		c->state = CONFIG_COMMIT_WRITE;
		return;
	}
	assert(row->version == c->base + 1);
	if (row->nonce == c->nonce) {
		c->state = CONFIG_COMMIT_WON;
		return;
	}
	c->winner = *row;
	c->state = CONFIG_COMMIT_LOST;
}
