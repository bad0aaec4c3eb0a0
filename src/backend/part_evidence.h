#ifndef WASABILINK_BACKEND_PART_EVIDENCE_H
#define WASABILINK_BACKEND_PART_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "backend/crash_log.h"

/*
 * part_evidence - what the crashes in a log say against one prompt part.
 *
 * A crash says nothing against a part that had output later. Runners that are
 * lost at one moment may have one cause that is not a request, so they count as
 * one crash for each part: one that all of their requests share explains no more
 * than that cause does. Only a request that was sent after another one of these
 * runners was lost with the same part counts by itself. Unproven crashes count as
 * one, whenever they were.
 */

/* Runners that are lost within this time are lost at one moment. */
#define COMMON_CAUSE_US 10000

/* Evidence of a crash for a part: full if the runner was processing the
 * request, less if the request may still have been in its queue. */
#define EVIDENCE_RUNNING 10
#define EVIDENCE_QUEUED 4
/* The same for the request itself, of which few come again by chance. */
#define EVIDENCE_REQUEST 7
/* The same for a request that had a complete answer shortly before: not none, as
 * the runners' software may have changed. */
#define EVIDENCE_SOUND 3
/* Evidence from which a part is held briefly, and for long: of two and of three
 * crashes. */
#define EVIDENCE_SUSPECTED 20
#define EVIDENCE_CERTAIN 30

/* A part whose last output was at cleared_us; 0: none is known. */
typedef struct evidence_part {
	uint64_t id;
	int64_t cleared_us;
} evidence_part_t;

/* Whether a crash speaks against a part that is a suspect of it. */
bool part_evidence_counts(const crash_t *crash, const evidence_part_t *part);
typedef struct part_evidence {
	uint32_t sum;
	uint32_t runners; /* whose crashes speak against the part */
	/* Last crash of the newest moment at which several runners were lost,
	 * all while they processed a request with the part; 0: none. */
	int64_t shared_us;
} part_evidence_t;

/* Sums up the evidence against a part from the crashes that are not explained
 * by another one. explained: one value for each crash of the log. */
part_evidence_t part_evidence_sum(const crash_log_t *log,
				  const evidence_part_t *part,
				  const bool *explained);

#endif
