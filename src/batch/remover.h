#ifndef WASABILINK_BATCH_REMOVER_H
#define WASABILINK_BATCH_REMOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "object/object_store.h"

/*
 * remover - removes all objects below a prefix, at a bounded rate.
 *
 * It processes one prefix at a time. Each object is removed at the version that
 * was listed, so one that is created again in the meantime stays. A missing or
 * changed object is not an error. The prefix is listed again until the listing
 * is empty, so a removal without an answer is retried. All work is done in
 * remover_step().
 */
typedef struct remover remover_t;

typedef struct remover_options {
	object_store_t *store; /* borrowed */
	const clock_source_t *clock;
	double removals_per_s;
} remover_options_t;

/* empty: a listing returned no object; FALSE: the store failed. removed counts
 * the removals that the store confirmed. */
typedef void (*remover_done_t)(bool empty, uint32_t removed, void *user_data);

remover_t *remover_new(const remover_options_t *options);
/* Cancels a removal; its callback is not called. */
void remover_free(remover_t *remover);
bool remover_is_busy(const remover_t *remover);
void remover_start(remover_t *remover, const char *prefix, remover_done_t done,
		   void *user_data);
/* To be called several times per second. */
void remover_step(remover_t *remover);

#endif
