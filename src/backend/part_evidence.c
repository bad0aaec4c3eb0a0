#include "backend/part_evidence.h"

#include <glib.h>

#include "backend/prompt_parts.h"

bool part_evidence_counts(const crash_t *crash, const evidence_part_t *part)
{
	return !crash->survived && crash->at_us > part->cleared_us;
}

static uint32_t evidence_of(const crash_t *crash, const evidence_part_t *part)
{
	const crash_suspect_t *suspect = crash_suspect(crash, part->id);

	if (!suspect || !part_evidence_counts(crash, part))
		return 0;
	if (suspect->running)
		return EVIDENCE_RUNNING;
	return suspect->depth == PROMPT_DEPTH_REQUEST ? EVIDENCE_REQUEST :
							EVIDENCE_QUEUED;
}

static bool is_same_moment(const crash_log_t *log, uint32_t first,
			   uint32_t other)
{
	return log->crashes[other].at_us - log->crashes[first].at_us <=
	       COMMON_CAUSE_US;
}

/* Unless a part explains the loss of all runners of a moment, they count as one
 * crash for it. */
uint32_t part_evidence_sum(const crash_log_t *log, const evidence_part_t *part,
			   const bool *explained)
{
	uint32_t sum = 0;
	uint32_t next;

	for (uint32_t i = 0; i < log->count; i = next) {
		uint32_t strongest = 0;
		uint32_t group = 0;
		bool explains_all = true;

		for (next = i;
		     next < log->count && is_same_moment(log, i, next);
		     next++) {
			uint32_t evidence = 0;

			if (log->crashes[next].survived)
				continue;
			if (!explained[next])
				evidence =
					evidence_of(&log->crashes[next], part);
			explains_all &= evidence > 0;
			group += evidence;
			strongest = MAX(strongest, evidence);
		}
		sum += explains_all ? group : strongest;
	}
	return sum;
}
