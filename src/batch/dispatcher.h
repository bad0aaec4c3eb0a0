#ifndef WASABILINK_BATCH_DISPATCHER_H
#define WASABILINK_BATCH_DISPATCHER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/coordinator.h"
#include "batch/slot.h"
#include "batch/suspect.h"
#include "object/object_writer.h"

/*
 * dispatcher - runs the items of granted chunks on the runners that this node
 * dispatches to. No I/O of its own: streams, messages and objects are reached
 * through the operations.
 *
 * Runners of one partner's deployment form a pool; a chunk's items run on any
 * runner of its pool. An item that is stopped keeps its tokens and goes on
 * later from there. Nothing starts without a valid lease; when a lease runs
 * out, its items stop, and they go on if the lease can be had back.
 */
typedef struct dispatcher dispatcher_t;
typedef struct dispatch_chunk dispatch_chunk_t;
typedef struct dispatch_runner dispatch_runner_t;
typedef struct dispatch_pool dispatch_pool_t;

typedef enum item_state {
	ITEM_WAITING,
	ITEM_RUNNING,
	ITEM_CUT, /* waits until it is known whether its runner died */
	ITEM_DONE
} item_state_t;

typedef struct dispatch_item {
	dispatch_chunk_t *chunk;
	dispatch_runner_t *runner; /* while running or cut */
	char *custom_id;
	GString *text; /* content received so far */
	char *line; /* the result */
	void *call; /* the operations' own, while running */
	uint64_t tokens; /* received so far, over all its runs */
	int64_t not_before_ms;
	int64_t last_token_us; /* 0: none in this run */
	uint32_t number; /* within the job */
	uint32_t tries;
	uint32_t deaths;
	uint32_t cuts; /* without a token since the last one */
	item_state_t state;
	bool is_error;
	bool progressed; /* got a token in this run */
} dispatch_item_t;

struct dispatch_runner {
	char *address;
	dispatch_pool_t *pool;
	slot_t slot;
	GPtrArray *running; /* dispatch_item_t in order of their start */
	dispatch_item_t *alone; /* suspect that has the runner to itself */
	uint32_t online;
	uint32_t cut; /* items whose fate the probe decides */
	int64_t not_before_ms; /* refused or lost: no start until then */
	int32_t pause_ms;
	bool probing;
};

struct dispatch_pool {
	char *partner;
	char *deployment;
	GPtrArray *runners; /* dispatch_runner_t */
	GPtrArray *chunks; /* dispatch_chunk_t, least slack first */
	dispatch_item_t *suspect; /* running alone */
	bool pulling;
	int64_t pull_ms; /* next pull when nobody offers work */
	int64_t runner_ms; /* when a runner was last of use */
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
	int64_t due_ms; /* monotonic time of the job's latest start */
	int64_t lease_until_ms;
	int64_t renew_ms; /* time of the next renewal */
	int64_t parked_ms; /* since when there is no lease; 0: there is one */
	bool renewing;
	bool writing;
	bool unrecorded; /* a death that the coordinator does not know yet */
	bool recording; /* the pending renewal tells all deaths */
	coordinator_result_t result; /* of the object being written */
};

/* None may call back into the dispatcher before it returns. */
typedef struct dispatcher_ops {
	/* Starts a stream from item->tokens on; ends by
	 * dispatcher_item_*(). body is borrowed. */
	void (*start)(dispatch_item_t *item, json_t *body, void *user_data);
	/* Cancels the stream; no callback follows. */
	void (*stop)(dispatch_item_t *item, void *user_data);
	/* Asks whether the runner lives; answer by dispatcher_probed(). */
	void (*probe)(const char *address, void *user_data);
	/* Answer by dispatcher_granted() for each chunk and
	 * dispatcher_pulled(). */
	void (*pull)(const char *partner, const char *deployment,
		     void *user_data);
	/* Reads the chunk's part; answer by dispatcher_loaded(). */
	void (*load)(const dispatch_chunk_t *chunk, void *user_data);
	/* Answer by dispatcher_renewed(). */
	void (*renew)(const dispatch_chunk_t *chunk, const GArray *suspects,
		      void *user_data);
	/* Creates the result object; answer by dispatcher_written(). */
	void (*write)(const dispatch_chunk_t *chunk, GBytes *object,
		      void *user_data);
	/* Tells the coordinator; no answer. */
	void (*done)(const dispatch_chunk_t *chunk,
		     const coordinator_result_t *result, void *user_data);
	void (*hand_back)(const dispatch_chunk_t *chunk, const GArray *suspects,
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
	const GArray *suspects; /* suspect_t; may be NULL */
} dispatcher_grant_t;

dispatcher_t *dispatcher_new(const dispatcher_ops_t *ops,
			     const clock_source_t *clock,
			     const slot_options_t *slots);
void dispatcher_free(dispatcher_t *dispatcher);

/* The runners that this node dispatches to; others' items are stopped. */
void dispatcher_set_runners(dispatcher_t *dispatcher,
			    const dispatcher_runner_info_t *runners,
			    guint count);
/* Online requests in flight on a runner, on all nodes. Yields at once. */
void dispatcher_set_online(dispatcher_t *dispatcher, const char *address,
			   uint32_t online);
void dispatcher_report_slots(dispatcher_t *dispatcher, const char *address,
			     uint32_t slots);
/* dispatch_runner_t by address; borrowed. */
GHashTable *dispatcher_runners(const dispatcher_t *dispatcher);

void dispatcher_granted(dispatcher_t *dispatcher,
			const dispatcher_grant_t *grant);
/* retry_ms: pause before the next pull unless work is offered. */
void dispatcher_pulled(dispatcher_t *dispatcher, const char *partner,
		       const char *deployment, int32_t retry_ms);
/* A coordinator has waiting chunks for the deployment. */
void dispatcher_offered(dispatcher_t *dispatcher, const char *partner,
			const char *deployment);
/* data NULL: the part could not be read; it is tried again. */
void dispatcher_loaded(dispatcher_t *dispatcher, const char *job,
		       uint32_t first, GBytes *data);
/* sent_ms: when the renewal was sent. answered FALSE: no answer came. */
void dispatcher_renewed(dispatcher_t *dispatcher, const char *job,
			uint32_t first, gboolean answered,
			lease_status_t status, int64_t sent_ms);
void dispatcher_written(dispatcher_t *dispatcher, const char *job,
			uint32_t first, object_write_outcome_t outcome);
void dispatcher_probed(dispatcher_t *dispatcher, const char *address,
		       gboolean alive);

void dispatcher_item_tokens(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *text, uint32_t tokens);
/* Takes over the result line. */
void dispatcher_item_whole(dispatcher_t *dispatcher, dispatch_item_t *item,
			   char *line);
/* The engine answered with an error. */
void dispatcher_item_failed(dispatcher_t *dispatcher, dispatch_item_t *item,
			    const char *code, const char *message);
/* The engine did not take the item. */
void dispatcher_item_refused(dispatcher_t *dispatcher, dispatch_item_t *item);
/* The stream ended early; the runner may have died. */
void dispatcher_item_cut(dispatcher_t *dispatcher, dispatch_item_t *item);

/* Renews, yields, starts and pulls. */
void dispatcher_tick(dispatcher_t *dispatcher);
/* Stops all items and hands their chunks back; nothing starts any more. */
void dispatcher_drain(dispatcher_t *dispatcher);
/* Chunks that this node still holds. */
uint32_t dispatcher_chunks(const dispatcher_t *dispatcher);
uint32_t dispatcher_running(const dispatcher_t *dispatcher);

#endif
