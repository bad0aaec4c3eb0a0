#include "coord/ledger_seal.h"

#include <math.h>

/* With b bytes a commit and a limit of s bytes, a commit sends about s / 2
 * live bytes again and needs b / s seals. If a write is worth w bytes, the
 * sum s / 2 + w * b / s is least at sqrt(2 * w * b). */
#define WRITE_WORTH_BYTES (64 * 1024)
#define MIN_SEAL_BYTES (32 * 1024)
#define MAX_SEAL_BYTES (256 * 1024)
/* A seal keeps a quarter, so that most claims get their result before they
 * are sealed, and a segment is not much smaller than the limit. */
#define KEEP_SHARE 4
#define MEAN_WEIGHT 0.125

void ledger_seal_add(ledger_t *ledger, size_t bytes)
{
	ledger->new_bytes += bytes;
}

void ledger_seal_commit(ledger_t *ledger)
{
	ledger->commit_bytes += MEAN_WEIGHT * ((double)ledger->new_bytes -
					       ledger->commit_bytes);
	ledger->new_bytes = 0;
}

uint32_t ledger_seal_bytes(const ledger_t *ledger)
{
	double best = sqrt(2.0 * WRITE_WORTH_BYTES * ledger->commit_bytes);

	if (ledger->options.seal_bytes)
		return ledger->options.seal_bytes;
	return (uint32_t)CLAMP(best, MIN_SEAL_BYTES, MAX_SEAL_BYTES);
}

uint32_t ledger_seal_keep_bytes(const ledger_t *ledger)
{
	if (ledger->options.keep_bytes)
		return ledger->options.keep_bytes;
	return ledger_seal_bytes(ledger) / KEEP_SHARE;
}
