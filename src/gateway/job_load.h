#ifndef WASABILINK_GATEWAY_JOB_LOAD_H
#define WASABILINK_GATEWAY_JOB_LOAD_H

#include "gateway/job_context.h"
#include "gateway/job_record.h"

/* job_load - reads the items and the progress of a batch job from the store. */

/* items is an array of job_item_t that the callback takes ownership of, or NULL
 * when a part could not be read. */
typedef void (*job_loaded_t)(GPtrArray *items, void *user_data);

void job_load_items(job_context_t *context, const char *id, uint32_t parts,
		    job_loaded_t loaded, void *user_data);
/* progress is an array of job_progress_t that the callback takes ownership of,
 * empty when there is none or it could not be read. */
typedef void (*job_progress_loaded_t)(GPtrArray *progress, void *user_data);

void job_load_progress(job_context_t *context, const char *key,
		       job_progress_loaded_t loaded, void *user_data);
/* The key of a payload part; freed by g_free(). */
char *job_load_key(const char *id, uint32_t part);

#endif
