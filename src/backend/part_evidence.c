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
	if (suspect->sound)
		return EVIDENCE_SOUND;
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

/* What the crashes of one moment say against a part. */
typedef struct moment {
	uint32_t runners; /* that were lost */
	uint32_t suspected; /* of these, with the part */
	uint32_t sent_again; /* evidence of crashes that count by themselves */
	uint32_t strongest; /* evidence of one of the other crashes */
	uint32_t running; /* crashes while a request was processed */
	int64_t last_us;
} moment_t;

static void add_crash(moment_t *moment, const crash_t *crash,
		      const evidence_part_t *part, bool explained)
{
	uint32_t evidence = explained ? 0 : evidence_of(crash, part);

	moment->runners++;
	moment->last_us = crash->at_us;
	if (evidence == 0)
		return;
	moment->suspected++;
	if (evidence == EVIDENCE_RUNNING)
		moment->running++;
	if (crash_suspect(crash, part->id)->sent_again)
		moment->sent_again += evidence;
	else
		moment->strongest = MAX(moment->strongest, evidence);
}

part_evidence_t part_evidence_sum(const crash_log_t *log,
				  const evidence_part_t *part,
				  const bool *explained)
{
	part_evidence_t evidence = { 0 };
	uint32_t unproven = 0;
	uint32_t next;

	for (uint32_t i = 0; i < log->count; i = next) {
		moment_t moment = { 0 };

		for (next = i;
		     next < log->count && is_same_moment(log, i, next);
		     next++) {
			const crash_t *crash = &log->crashes[next];

			if (crash->survived)
				continue;
			if (!crash->unproven)
				add_crash(&moment, crash, part,
					  explained[next]);
			else if (!explained[next])
				unproven =
					MAX(unproven, evidence_of(crash, part));
		}
		evidence.sum += moment.sent_again + moment.strongest;
		evidence.runners += moment.suspected;
		if (moment.runners > 1 && moment.running == moment.runners)
			evidence.shared_us = moment.last_us;
	}
	/* Runners that stay down are one cause. */
	evidence.sum += unproven;
	return evidence;
}
