#ifndef WASABILINK_TOOL_JOB_TIMELINE_H
#define WASABILINK_TOOL_JOB_TIMELINE_H

#include <glib.h>

/*
 * job_timeline - what the log lines of all nodes tell of the life of one batch job
 * of a gateway, and where they have gaps.
 *
 * Lines are added in order of time. Each that tells of a decision is passed on,
 * followed by notes, lines that begin with "# ": epochs and positions that no line
 * names, positions that are named twice, owners whose end no line tells, reads of
 * results that no line names. Lines of items are counted only.
 */
typedef struct job_timeline job_timeline_t;

/* job: its id, as in the lines' field job. */
job_timeline_t *job_timeline_new(const char *job);
void job_timeline_free(job_timeline_t *timeline);
/* Appends to the text what a line tells. */
void job_timeline_add(job_timeline_t *timeline, const char *line,
		      GString *text);
/* Appends what is still open after the last line. */
void job_timeline_end(const job_timeline_t *timeline, GString *text);

#endif
