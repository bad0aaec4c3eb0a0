#ifndef WASABILINK_BATCH_DISPATCHER_H
#define WASABILINK_BATCH_DISPATCHER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/coordinator.h"
#include "batch/slot.h"
#include "batch/item_failures.h"
#include "object/object_writer.h"

/*
 * dispatcher - runs the items of granted chunks on the runners that this node
 * dispatches to. It does no I/O: it uses streams, messages and objects through
 * the operations.
 *
 * The runners of one partner's deployment form a pool; a chunk's items run on
 * any runner of its pool. A preempted item keeps its tokens and is resumed from
 * its last one. No item starts without a valid lease. When a lease expires, its
 * items are stopped; they are resumed if the lease is renewed later.
 */
typedef struct dispatcher dispatcher_t;
typedef struct dispatch_chunk dispatch_chunk_t;
typedef struct dispatch_runner dispatch_runner_t;
typedef struct dispatch_pool dispatch_pool_t;

typedef enum item_state {
	ITEM_WAITING,
	ITEM_RUNNING,
	ITEM_AWAITING_PROBE, /* waits for the probe of its runner */
	ITEM_DONE
} item_state_t;

typedef struct dispatch_item {
	dispatch_chunk_t *chunk;
	dispatch_runner_t *runner; /* while running or awaiting the probe */
	char *custom_id;
	GString *text; /* content received so far */
	char *line; /* the result */
	void *call; /* owned by the operations, while running */
	uint64_t tokens; /* received so far, over all attempts */
	int64_t not_before_ms;
	int64_t last_token_us; /* 0: none in this attempt */
	uint32_t number; /* within the job */
	uint32_t attempts;
	uint32_t runner_losses;
	uint32_t truncations; /* in sequence, without a token in between */
	item_state_t state;
	bool is_error;
	bool progressed; /* received a token in this attempt */
} dispatch_item_t;

struct dispatch_runner {
	char *address;
	dispatch_pool_t *pool;
	slot_t slot;
	GPtrArray *running; /* dispatch_item_t, in order of start */
	dispatch_item_t *exclusive_item; /* suspect that runs alone here */
	uint32_t online;
	uint32_t awaiting_probe; /* items that wait for the probe */
	int64_t not_before_ms; /* no start before, after a refusal or loss */
	int32_t backoff_ms;
	bool probing;
};

struct dispatch_pool {
	char *partner;
	char *deployment;
	GPtrArray *runners; /* dispatch_runner_t */
	GPtrArray *chunks; /* dispatch_chunk_t, least slack first */
	dispatch_item_t *isolated_item; /* suspect that runs alone */
	bool pulling;
	int64_t next_pull_ms; /* next pull unless work is offered */
	int64_t runner_usable_ms; /* last time a runner was usable */
};

struct dispatch_chunk {
	dispatch_pool_t *pool;
	char *job;
	char *input_file_id;
	uint32_t part;
	uint32_t line;
	uint32_t first;
	uint32_t count;
	dispatch_item_t *items;
	uint32_t done;
	GQueue waiting; /* dispatch_item_t */
	GBytes *data; /* of the part; NULL until loaded */
	GArray *index;
	int64_t latest_start_ms; /* monotonic; to still meet the deadline */
	int64_t lease_until_ms;
	int64_t renew_ms; /* time of the next renewal */
	int64_t no_lease_since_ms; /* lease expired then; 0: it is valid */
	bool renewing;
	bool writing;
	bool loss_unreported; /* a runner loss not yet reported */
	bool reporting_losses; /* the pending renewal reports all losses */
	coordinator_result_t result; /* of the object being written */
};

/* No operation may call back into the dispatcher before it returns. */
typedef struct dispatcher_ops {
	/* Starts a stream after item->tokens tokens; its outcome is reported
	 * by dispatcher_item_*(). body is borrowed. */
	void (*start)(dispatch_item_t *item, json_t *body, void *user_data);
	/* Cancels the stream; no callback follows. */
	void (*stop)(dispatch_item_t *item, void *user_data);
	/* Checks whether the runner is alive; answered by
	 * dispatcher_probed(). */
	void (*probe)(const char *address, void *user_data);
	/* Requests chunks; answered by dispatcher_granted() for each and
	 * dispatcher_pulled(). */
	void (*pull)(const char *partner, const char *deployment,
		     void *user_data);
	/* Reads the chunk's part; answered by dispatcher_loaded(). */
	void (*load)(const dispatch_chunk_t *chunk, void *user_data);
	/* Renews the lease; answered by dispatcher_renewed(). */
	void (*renew)(const dispatch_chunk_t *chunk, const GArray *suspects,
		      void *user_data);
	/* Creates the result object; answered by dispatcher_written(). */
	void (*write)(const dispatch_chunk_t *chunk, GBytes *object,
		      void *user_data);
	/* Notifies the coordinator; there is no answer. */
	void (*done)(const dispatch_chunk_t *chunk,
		     const coordinator_result_t *result, void *user_data);
	void (*release)(const dispatch_chunk_t *chunk, const GArray *suspects,
			void *user_data);
	void *user_data;
} dispatcher_ops_t;

typedef struct dispatcher_runner_info {
	const char *address;
	const char *partner;
	const char *deployment;
} dispatcher_runner_info_t;

typedef struct dispatcher_grant {
	const char *partner;
	const char *deployment;
	const char *job;
	const char *input_file_id;
	uint32_t part;
	uint32_t line;
	uint32_t first;
	uint32_t count;
	int64_t slack_ms;
	int64_t lease_until_ms; /* counted from before the request */
	const GArray *suspects; /* item_failures_t; may be NULL */
} dispatcher_grant_t;

dispatcher_t *dispatcher_new(const dispatcher_ops_t *ops,
			     const clock_source_t *clock,
			     const slot_options_t *slots);
void dispatcher_free(dispatcher_t *dispatcher);

/* Sets the runners that this node dispatches to. Items on removed runners are
 * stopped. */
void dispatcher_set_runners(dispatcher_t *dispatcher,
			    const dispatcher_runner_info_t *runners,
			    guint count);
/* Sets the number of online requests in flight on a runner, over all nodes.
 * Preempts items at once. */
void dispatcher_set_online(dispatcher_t *dispatcher, const char *address,
			   uint32_t online);
void dispatcher_report_slots(dispatcher_t *dispatcher, const char *address,
			     uint32_t slots);
/* Returns the dispatch_runner_t by address; borrowed. */
GHashTable *dispatcher_runners(const dispatcher_t *dispatcher);

void dispatcher_granted(dispatcher_t *dispatcher,
			const dispatcher_grant_t *grant);
/* retry_ms: pause before the next pull unless work is offered. */
void dispatcher_pulled(dispatcher_t *dispatcher, const char *partner,
		       const char *deployment, int32_t retry_ms);
/* Reports that a coordinator has waiting chunks for the deployment. */
void dispatcher_offered(dispatcher_t *dispatcher, const char *partner,
			const char *deployment);
/* data NULL: the part could not be read; the read is retried. */
void dispatcher_loaded(dispatcher_t *dispatcher, const char *job,
		       uint32_t first, GBytes *data);
/* sent_ms: when the renewal was sent. answered FALSE: there was no answer. */
void dispatcher_renewed(dispatcher_t *dispatcher, const char *job,
			uint32_t first, gboolean answered,
			lease_status_t status, int64_t sent_ms);
void dispatcher_written(dispatcher_t *dispatcher, const char *job,
			uint32_t first, object_write_outcome_t outcome);
void dispatcher_probed(dispatcher_t *dispatcher, const char *address,
		       gboolean alive);

void dispatcher_item_tokens(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *text, uint32_t tokens);
/* Takes ownership of the result line. */
void dispatcher_item_completed(dispatcher_t *dispatcher, dispatch_item_t *item,
			       char *line);
/* Reports that the engine answered with an error. */
void dispatcher_item_failed(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *code, const char *message);
/* Reports that the engine refused the item. */
void dispatcher_item_refused(dispatcher_t *dispatcher, dispatch_item_t *item);
/* Reports a truncated stream; the runner may have failed. */
void dispatcher_item_truncated(dispatcher_t *dispatcher, dispatch_item_t *item);

/* Renews leases, preempts and starts items and pulls chunks. */
void dispatcher_tick(dispatcher_t *dispatcher);
/* Stops all items and releases their chunks; no item starts afterwards. */
void dispatcher_drain(dispatcher_t *dispatcher);
/* Returns the number of chunks that this node holds. */
uint32_t dispatcher_chunks(const dispatcher_t *dispatcher);
uint32_t dispatcher_running(const dispatcher_t *dispatcher);

#endif
