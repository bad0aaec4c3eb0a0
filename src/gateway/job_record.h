#ifndef WASABILINK_GATEWAY_JOB_RECORD_H
#define WASABILINK_GATEWAY_JOB_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * job_record - the objects of a batch job in the store, as JSON.
 *
 * There are three kinds of objects: payload parts, written before the job is
 * accepted; the record, whose creation accepts the job and which is changed
 * only on condition of its version; and segments of results, written before the
 * record names them. The position of a result is its index over the record's
 * segments in their order, so it never changes once the record is written.
 *
 *   batch-payloads/JOB.N        items, in parts below the store's value limit
 *   batch-jobs/JOB              the record
 *   batch-results/JOB.E.N.NODE  segment N that the owner of epoch E wrote
 */
#define JOB_RECORD_PREFIX "batch-jobs/"
#define JOB_PAYLOAD_PREFIX "batch-payloads/"
#define JOB_SEGMENT_PREFIX "batch-results/"

/* Of records that this build writes. It reads those without a number, which
 * older builds write, and leaves those with a higher one alone. Members that
 * older builds may ignore do not need a new number (docs/formats.md). */
#define JOB_RECORD_FORMAT 1
/* Epoch of a record as it is created. */
#define JOB_RECORD_FIRST_EPOCH 1

typedef enum job_result_state {
	JOB_RESULT_COMPLETED,
	JOB_RESULT_GIVEN_UP /* no attempt can succeed, or too many failed */
} job_result_state_t;

typedef struct job_item {
	char *id;
	char *target; /* path and query */
	GPtrArray *headers; /* name, value, ... */
	GBytes *body;
	int64_t tokens;
} job_item_t;

typedef struct job_result {
	uint32_t item; /* index in the job */
	char *id; /* of the item */
	job_result_state_t state;
	char *text; /* data of all events, joined by line feeds */
} job_result_t;

/* Results that were added to the record by one write. */
typedef struct job_segment {
	char *key; /* of the object with the results */
	char *digest; /* of the results, see job_results_digest(); empty: not
		       * known, as an older build wrote the record */
	GArray *items; /* uint32_t, indexes in the job */
} job_segment_t;

typedef struct job_record {
	char *host;
	char *path; /* that the job was submitted to; selects the route */
	char *owner; /* node that runs the items; empty: no owner */
	char *instance; /* process of the owner; empty: not started yet */
	uint32_t epoch; /* incremented by each takeover */
	uint32_t beat; /* incremented by each write of the owner */
	uint32_t items;
	uint32_t payload_parts;
	int64_t submitted_ms; /* wall clock of the accepting node */
	int64_t waiting_tokens; /* of items without a result */
	bool ended; /* by its caller; no further item starts */
	char *progress; /* key of the last job_progress object; empty: none */
	GPtrArray *segments; /* job_segment_t */
} job_record_t;

job_record_t *job_record_new(void);
job_record_t *job_record_copy(const job_record_t *record);
void job_record_free(job_record_t *record);
/* Freed by g_free(). */
char *job_record_encode(const job_record_t *record);
/* Returns NULL when the text is not a record, or one of a later format. text may
 * be NULL. */
job_record_t *job_record_decode(const char *text, size_t len);

/* digest may be NULL. */
void job_record_add_segment(job_record_t *record, const char *key,
			    const char *digest, const uint32_t *items,
			    uint32_t count);
/* NULL when the record does not name the key. */
const job_segment_t *job_record_find_segment(const job_record_t *record,
					     const char *key);
/* Number of results, which is also the position of the next one. */
uint32_t job_record_results(const job_record_t *record);
bool job_record_has_item(const job_record_t *record, uint32_t item);
/* Whether the job was ended or all of its items have results. */
bool job_record_is_closed(const job_record_t *record);
/* Whether nothing has changed the record since its creation: no renewal, no
 * takeover, no end and no results. */
bool job_record_is_unchanged(const job_record_t *record);

/* Encodes the items of a payload part; bodies are in base64. Freed by
 * g_free(). */
char *job_items_encode(const GPtrArray *items, guint first, guint count);
/* Adds the decoded job_item_t to items. Returns false when the text is
 * invalid. */
bool job_items_decode(const char *text, size_t len, GPtrArray *items);
job_item_t *job_item_new(void);
/* Whether each field can be written into the head of a request as it is: no byte
 * of it ends a line or a word there, or is dropped. */
bool job_item_is_sendable(const job_item_t *item);
/* Bytes that the item takes in memory, and in the text of a payload part; both
 * are estimates. */
size_t job_item_bytes(const job_item_t *item);
size_t job_item_text_bytes(const job_item_t *item);
/* Sum of job_item_bytes(). */
uint64_t job_items_bytes(const GPtrArray *items);
void job_item_free(void *item);

char *job_results_encode(const GPtrArray *results);
/* Returns an array of job_result_t, or NULL when the text is invalid. */
GPtrArray *job_results_decode(const char *text, size_t len);
/* Bytes of a text in the encoded results. */
size_t job_result_text_bytes(const char *text, size_t len);
void job_result_free(void *result);
/* SHA-256 over the results, not over their encoding, which the store may change;
 * hexadecimal, freed by g_free(). */
char *job_results_digest(const GPtrArray *results);
/* Whether the results are of the segment's items, in their order, and have the
 * digest, unless one of the two digests is empty. */
bool job_segment_has_results(const job_segment_t *segment,
			     const GPtrArray *results, const char *digest);
/* Whether text holds the encoded results; false when it is invalid. */
bool job_results_equal(const GPtrArray *results, const char *text, size_t len);

#endif
