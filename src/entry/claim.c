#include "entry/claim.h"

/* No ledger is connected yet: every claim is unavailable. */
struct claim {
	bool idempotent;
};

void claim_begin(claims_t *claims, const claim_options_t *options,
		 claim_begun_t done, void *user_data)
{
	claim_t *claim = options->idempotent ? g_new0(claim_t, 1) : NULL;

	done(CLAIM_UNAVAILABLE, claim, NULL, user_data);
}

void claim_finish(claim_t *claim, const claim_result_t *result,
		  claim_finished_t done, void *user_data)
{
	g_free(claim);
	if (done)
		done(false, NULL, user_data);
}

void claim_abandon(claim_t *claim)
{
	g_free(claim);
}

void claim_lose(claim_t *claim)
{
	g_free(claim);
}
