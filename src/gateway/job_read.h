#ifndef WASABILINK_GATEWAY_JOB_READ_H
#define WASABILINK_GATEWAY_JOB_READ_H

#include "gateway/job_context.h"
#include "gateway/job_owner.h"
#include "gateway/job_table.h"
#include "gateway/segment_cache.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * job_read - reads results and item bodies of batch jobs and ends jobs, at any
 * node.
 *
 * The owner answers from memory. Other nodes call the owner or read the record
 * from the store, so that a result that a caller has seen at any node is never
 * missing at another. Records of closed jobs no longer change and are cached.
 */
typedef struct job_reader job_reader_t;

typedef enum job_found {
	JOB_FOUND,
	JOB_MISSING, /* there is no such job or item */
	JOB_UNAVAILABLE /* the store is unavailable */
} job_found_t;

typedef struct job_page {
	job_found_t found;
	uint32_t total; /* items of the job */
	uint32_t next; /* position after the page's last result */
	GPtrArray *results; /* job_result_t, borrowed */
} job_page_t;

typedef void (*job_page_done_t)(const job_page_t *page, void *user_data);
/* body is borrowed; NULL unless found is JOB_FOUND. */
typedef void (*job_body_done_t)(job_found_t found, GBytes *body,
				void *user_data);
typedef void (*job_end_done_t)(job_found_t found, void *user_data);

typedef struct job_reader_options {
	job_context_t *context;
	job_owner_t *owner;
	job_table_t *table;
	segment_cache_t *cache;
	rpc_client_t *client;
	rpc_server_t *server;
	/* Writes the address of a node into the buffer. Returns false when the
	 * node is not known. */
	bool (*find_node)(void *user_data, const char *node, char *address,
			  size_t size);
	void *user_data;
} job_reader_options_t;

job_reader_t *job_reader_new(const job_reader_options_t *options);
/* Drops what is kept of a job whose record was removed. */
void job_reader_forget(job_reader_t *reader, const char *id);

/* Reads the results from a position on. A page has at most max_bytes of text,
 * but at least one result if there is any. */
void job_read_results(job_reader_t *reader, const char *id, uint32_t after,
		      size_t max_bytes, job_page_done_t done, void *user_data);
/* Reads the body of an item that has no result yet. */
void job_read_body(job_reader_t *reader, const char *id, const char *item,
		   job_body_done_t done, void *user_data);
/* Ends a job: no further item of it starts. Ending an ended job succeeds. */
void job_end(job_reader_t *reader, const char *id, job_end_done_t done,
	     void *user_data);

#endif
