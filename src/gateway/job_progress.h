#ifndef WASABILINK_GATEWAY_JOB_PROGRESS_H
#define WASABILINK_GATEWAY_JOB_PROGRESS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * job_progress - the output that the unfinished items of a job have delivered,
 * and their failed attempts.
 *
 * The owner writes it to the store periodically and before it releases the job,
 * so that the next owner resumes the items after their last complete event. An
 * owner may resume from any version of the object. The record names the object
 * once it exists.
 *
 *   batch-progress/JOB.E.N.NODE   object N of the owner of epoch E
 */
#define JOB_PROGRESS_PREFIX "batch-progress/"

typedef struct job_progress {
	uint32_t item; /* index in the job */
	int64_t last_event; /* number of the last complete event, or -1 */
	uint64_t version; /* of the software that wrote them; 0: not known */
	uint32_t failures; /* attempts with an error response or bad output */
	char *text; /* data of the events so far, joined by line feeds */
} job_progress_t;

void job_progress_free(void *progress);
/*
 * Encodes an array of job_progress_t as JSON, freed by g_free(). Omits the
 * first entry that would exceed max_bytes and all after it: those items start
 * from their first event.
 */
char *job_progress_encode(const GPtrArray *entries, size_t max_bytes);
/* Returns an array of job_progress_t, or NULL when the text is invalid. text
 * may be NULL. */
GPtrArray *job_progress_decode(const char *text, size_t len);

#endif
