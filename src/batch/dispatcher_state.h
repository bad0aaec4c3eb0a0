#ifndef WASABILINK_BATCH_DISPATCHER_STATE_H
#define WASABILINK_BATCH_DISPATCHER_STATE_H

#include "batch/dispatcher.h"

/*
 * dispatcher_state - state that is private to the dispatcher modules.
 */
struct dispatcher {
	dispatcher_ops_t ops;
	const clock_source_t *clock;
	slot_options_t slots;
	GHashTable *runners; /* address -> dispatch_runner_t */
	GPtrArray *pools; /* dispatch_pool_t */
	GPtrArray *chunks; /* dispatch_chunk_t */
	uint32_t running;
	bool draining;
};

int64_t dispatcher_now_ms(const dispatcher_t *dispatcher);
dispatch_pool_t *dispatcher_find_pool(dispatcher_t *dispatcher,
				      const char *partner,
				      const char *deployment);
dispatch_pool_t *dispatcher_get_pool(dispatcher_t *dispatcher,
				     const char *partner,
				     const char *deployment);
void dispatcher_preempt(dispatcher_t *dispatcher, dispatch_runner_t *runner);

#endif
