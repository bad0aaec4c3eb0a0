#ifndef WASABILINK_GATEWAY_LOAD_VIEW_H
#define WASABILINK_GATEWAY_LOAD_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "gateway/batch_rule.h"
#include "gateway/fleet.h"

/*
 * load_view - what the other nodes have at the runners, from their reports.
 *
 * A report holds all of a node's load and replaces the one before. Reports may
 * be lost, doubled or out of order; a node that is silent counts as having
 * nothing.
 */
typedef struct load_view load_view_t;

load_view_t *load_view_new(const clock_source_t *clock, fleet_t *fleet,
			   const char *node, const char *domain,
			   uint64_t incarnation);
void load_view_free(load_view_t *view);

typedef struct load_own {
	batch_waiting_t batch_waiting;
	bool reaches_store;
} load_own_t;

/* Writes this node's report; returns its length, 0 when it has no room. */
size_t load_view_encode(load_view_t *view, const load_own_t *own, char *data,
			size_t size);
/* Batch items that look for a place at the other nodes, or at those of this
 * node's domain. */
void load_view_batch_waiting(const load_view_t *view, bool near_only,
			     batch_waiting_t *waiting);
/* Batch items that look for a place at the other nodes of a domain. */
void load_view_waiting_in(const load_view_t *view, const char *domain,
			  batch_waiting_t *waiting);
/* A node of a domain that reaches the store, chosen by a draw in [0, 1); NULL:
 * none. domain NULL: any. */
const char *load_view_store_peer(const load_view_t *view, const char *domain,
				 double draw);
/* Domain of a node that was heard; NULL: not heard. */
const char *load_view_domain(const load_view_t *view, const char *node);
/* Takes another node's report; returns its name, or NULL for one that cannot
 * be read, is this node's own or is older than the last. */
const char *load_view_apply(load_view_t *view, char *data, size_t len);
/* Forgets nodes that have been silent. */
void load_view_expire(load_view_t *view);
uint32_t load_view_peers(const load_view_t *view);

#endif
