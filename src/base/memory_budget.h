#ifndef WASABILINK_BASE_MEMORY_BUDGET_H
#define WASABILINK_BASE_MEMORY_BUDGET_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/counter.h"

/*
 * memory_budget - one bound for the bytes that a process keeps for its peers,
 * such as answers that are being received.
 *
 * Each holder reports how many bytes it keeps. When their sum exceeds the bound,
 * holders are told to give way until it does not. What one peer sends without
 * end so ends its own request, and peers that keep much do not hold the bound
 * against those that keep little:
 *
 * - Large holders whose peers are still sending give way above three quarters
 *   of the bound, those first that have not grown for a second, then the
 *   largest. Nothing has been accepted from these peers.
 * - Above the bound, the largest of the other large holders gives way, and if
 *   there is none, small ones in the same order.
 *
 * A holder is large from 1/64 of the bound on.
 */
typedef struct memory_budget memory_budget_t;

/* Frees what the holder keeps, or arranges that it is freed. It is called at
 * most once after memory_holder_init(), and never from within
 * memory_holder_set(). */
typedef void (*memory_give_way_t)(void *user_data);

typedef struct memory_holder {
	memory_budget_t *budget; /* NULL: not limited */
	const char *kind; /* for the log; a literal */
	size_t bytes;
	int64_t grown_ms; /* when bytes last increased */
	bool receiving; /* its peer is still sending a request */
	bool gave_way;
	memory_give_way_t give_way;
	void *user_data;
	GList link; /* in the budget's list while bytes are kept */
} memory_holder_t;

memory_budget_t *memory_budget_new(struct event_base *base, size_t limit_bytes);
/* Counts memory_given_way_total and the gauge memory_kept_bytes from now on, with
 * these labels, or none if NULL. budget may be NULL. */
void memory_budget_count(memory_budget_t *budget, counter_set_t *counters,
			 const char *labels);
/* After all holders are cleared. budget may be NULL. */
void memory_budget_free(memory_budget_t *budget);
size_t memory_budget_used(const memory_budget_t *budget);
/* Bytes that may be kept before the first holders give way. */
size_t memory_budget_limit(const memory_budget_t *budget);
/* Whether more than the bound is kept, so that new work is to be refused. */
bool memory_budget_is_full(const memory_budget_t *budget);

/* budget may be NULL. */
void memory_holder_init(memory_holder_t *holder, memory_budget_t *budget,
			const char *kind, memory_give_way_t give_way,
			void *user_data);
void memory_holder_set(memory_holder_t *holder, size_t bytes);
/* Whether the peer is still sending a request, of which nothing has been
 * accepted. */
void memory_holder_set_receiving(memory_holder_t *holder, bool receiving);
/*
 * For a holder that is receiving and is about to keep more than it counts now,
 * or to have it decoded: makes room at once instead of in the next pass.
 * Returns false if this holder is the one to give way; it is then not told, and
 * its owner frees it. May call give_way of other holders that are receiving.
 */
bool memory_holder_make_room(memory_holder_t *holder);
/* The holder keeps nothing any more and is not told to give way. It may be
 * cleared again. */
void memory_holder_clear(memory_holder_t *holder);

#endif
