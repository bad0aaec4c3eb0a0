#ifndef WASABILINK_GATEWAY_JOB_PROGRESS_H
#define WASABILINK_GATEWAY_JOB_PROGRESS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * job_progress - what the unfinished items of a job have delivered.
 *
 * The owner writes it to the store now and then and before it gives the job
 * away, so that the next owner's runs go on after the last whole event. Each
 * version of the object is a state that an owner may go on from; the record
 * names the object once it exists.
 *
 *   batch-progress/JOB.E.N.NODE   object N of the owner of epoch E
 */
#define JOB_PROGRESS_PREFIX "batch-progress/"

typedef struct job_progress {
	uint32_t item; /* index in the job */
	int64_t last_event; /* number of the last whole event */
	char *text; /* data of the events so far, joined by line feeds */
} job_progress_t;

void job_progress_free(void *progress);
/*
 * An array of job_progress_t as JSON, freed by g_free(). Entries from the one
 * on that would exceed max_bytes are left out: those items start again.
 */
char *job_progress_encode(const GPtrArray *entries, size_t max_bytes);
/* An array of job_progress_t; NULL: unreadable. text may be NULL. */
GPtrArray *job_progress_decode(const char *text, size_t len);

#endif
