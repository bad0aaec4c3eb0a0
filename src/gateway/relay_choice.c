#include "gateway/relay_choice.h"

/* Spans two lost reports of an idle node. */
#define REPORT_MAX_AGE_MS 1000
/* Extra cost of a node in another domain, in calls: bytes between domains are
 * slower and charged. */
#define REMOTE_COST 4
/* Above any number of calls. */
#define DRAINING_COST 1000000

static bool qualifies(const relay_candidate_t *candidate, bool lost_own,
		      bool repeatable)
{
	if (candidate->repeatable_only && !repeatable)
		return false;
	if (!candidate->accepts || candidate->avoided ||
	    candidate->lost_target || candidate->age_ms > REPORT_MAX_AGE_MS)
		return false;
	return candidate->local || candidate->target || lost_own;
}

static uint32_t cost_of(const relay_candidate_t *candidate)
{
	return candidate->calls + (candidate->local ? 0 : REMOTE_COST) +
	       (candidate->draining ? DRAINING_COST : 0);
}

int relay_choice(const relay_candidate_t *candidates, size_t count,
		 bool lost_own, bool repeatable, double draw)
{
	uint32_t least = UINT32_MAX;
	size_t equal = 0;
	size_t chosen;

	for (size_t i = 0; i < count; i++) {
		if (!qualifies(&candidates[i], lost_own, repeatable))
			continue;
		if (cost_of(&candidates[i]) < least) {
			least = cost_of(&candidates[i]);
			equal = 0;
		}
		equal += cost_of(&candidates[i]) == least;
	}
	chosen = (size_t)(draw * (double)equal);
	for (size_t i = 0; i < count; i++)
		if (qualifies(&candidates[i], lost_own, repeatable) &&
		    cost_of(&candidates[i]) == least && chosen-- == 0)
			return (int)i;
	return -1;
}
