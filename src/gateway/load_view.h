#ifndef WASABILINK_GATEWAY_LOAD_VIEW_H
#define WASABILINK_GATEWAY_LOAD_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "gateway/batch_rule.h"
#include "gateway/fleet.h"
#include "gateway/relay_choice.h"
#include "gateway/view_age.h"

/*
 * load_view - load of the runners from the other nodes, from their reports.
 *
 * A report holds all of a node's load and replaces the node's previous one.
 * Reports may be lost, duplicated or reordered. The load of a node without a
 * recent report counts as zero.
 */
typedef struct load_view load_view_t;

load_view_t *load_view_new(const clock_source_t *clock, fleet_t *fleet,
			   const char *node, const char *domain,
			   uint64_t incarnation);
void load_view_free(load_view_t *view);

/* What a node knows of a view of the store. */
typedef struct load_news {
	uint64_t view; /* fleet_key() of the prefix of its objects */
	view_news_t news;
} load_news_t;

#define LOAD_NEWS_MAX 8

typedef struct load_own {
	batch_demand_t demands[BATCH_DEMANDS_MAX];
	uint32_t demand_count;
	bool reaches_store;
	uint16_t relay_port; /* for calls of other nodes; 0: none taken now */
	uint32_t relay_calls; /* in progress for other nodes */
	bool relay_draining; /* this node stops soon */
	bool relay_repeatable_only; /* it takes only calls that may run again */
	load_news_t news[LOAD_NEWS_MAX];
	uint32_t news_count;
} load_own_t;

/* Encodes this node's report; returns its length in bytes, 0 when it does not
 * fit. */
size_t load_view_encode(load_view_t *view, const load_own_t *own, char *data,
			size_t size);
/* Sums up the batch items that wait for a slot of the service at the other
 * nodes, or only at those in this node's domain, separately for the nodes whose
 * names sort before and after this node's. Nodes of a version that does not
 * report services count with all of their items. */
void load_view_batch_waiting(const load_view_t *view, uint64_t service,
			     bool local_only, batch_waiting_t *before,
			     batch_waiting_t *after);
/* Sums up the batch items that wait for a slot of the service at the other nodes
 * in a domain. */
void load_view_domain_waiting(const load_view_t *view, uint64_t service,
			      const char *domain, batch_waiting_t *waiting);
/* Returns a node in the domain (NULL: any) that reaches the store, selected by
 * a draw in [0, 1), or NULL without one. */
const char *load_view_store_peer(const load_view_t *view, const char *domain,
				 double draw);
/* Whether a node has a recent report, by which it does not stop soon. */
bool load_view_is_staying(const load_view_t *view, const char *node);
/* Returns the domain of a node with a recent report, else NULL. */
const char *load_view_domain(const load_view_t *view, const char *node);
/* Applies another node's report. Returns the node's name, or NULL for a report
 * that cannot be decoded, is this node's own or is not newer than the last. */
const char *load_view_apply(load_view_t *view, char *data, size_t len);
typedef void (*load_view_each_news_t)(const load_news_t *news, void *user_data);
/* Calls each for what a node told in its last report. */
void load_view_each_news(const load_view_t *view, const char *node,
			 load_view_each_news_t each, void *user_data);
/* Whether the process of a node is new since the last call for it. */
bool load_view_take_started(load_view_t *view, const char *node);
/* Removes nodes without a recent report. */
void load_view_expire(load_view_t *view);
typedef void (*load_view_each_relay_t)(const char *node, uint16_t port,
				       const relay_candidate_t *candidate,
				       void *user_data);
/* Calls each for every other node, as a candidate to pass calls on to runners of
 * the domain. */
void load_view_each_relay(const load_view_t *view, const char *domain,
			  load_view_each_relay_t each, void *user_data);
/* Number of other nodes that cannot connect to the domain's runners. */
uint32_t load_view_lost(const load_view_t *view, const char *domain);
uint32_t load_view_peers(const load_view_t *view);

#endif
