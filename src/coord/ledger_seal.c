#include "coord/ledger_seal.h"

#include <math.h>

/* With b new bytes per commit and a limit of s bytes, a commit rewrites about
 * s / 2 live bytes and needs b / s seals. If a write costs as much as w bytes,
 * the sum s / 2 + w * b / s is minimal at s = sqrt(2 * w * b). */
#define WRITE_COST_BYTES (64 * 1024)
#define MIN_SEAL_BYTES (32 * 1024)
#define MAX_SEAL_BYTES (256 * 1024)
/* A seal keeps a quarter of the limit live, so that most claims get their
 * result before they are sealed, and a segment is not much smaller than the
 * limit. */
#define KEEP_DIVISOR 4
#define COMMIT_MEAN_WEIGHT 0.125

void ledger_seal_add(ledger_t *ledger, size_t bytes)
{
	ledger->new_bytes += bytes;
}

void ledger_seal_commit(ledger_t *ledger)
{
	ledger->commit_bytes +=
		COMMIT_MEAN_WEIGHT *
		((double)ledger->new_bytes - ledger->commit_bytes);
	ledger->new_bytes = 0;
}

uint32_t ledger_seal_bytes(const ledger_t *ledger)
{
	double best = sqrt(2.0 * WRITE_COST_BYTES * ledger->commit_bytes);

	if (ledger->options.seal_bytes)
		return ledger->options.seal_bytes;
	return (uint32_t)CLAMP(best, MIN_SEAL_BYTES, MAX_SEAL_BYTES);
}

uint32_t ledger_seal_keep_bytes(const ledger_t *ledger)
{
	if (ledger->options.keep_bytes)
		return ledger->options.keep_bytes;
	return ledger_seal_bytes(ledger) / KEEP_DIVISOR;
}
