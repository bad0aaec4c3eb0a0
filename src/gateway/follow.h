#ifndef WASABILINK_GATEWAY_FOLLOW_H
#define WASABILINK_GATEWAY_FOLLOW_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "gateway/view_age.h"
#include "object/object_store.h"

/*
 * follow - follows all objects under a prefix by a listing and watches.
 *
 * The objects are listed again when the store no longer has the history from a
 * watch's revision. Failures are retried with backoff; each change between a
 * reachable and an unavailable store is logged once.
 *
 * A checked view does not rely on its watch being answered: view_age decides when
 * a call that is answered at once tells whether the watch has missed changes.
 */
typedef struct follow follow_t;

/*
 * The views of one node of the same store. A watch that waits when the store
 * stops answering may never be answered; when one view is back after a failure,
 * the others that were waiting since before list their objects again.
 */
typedef struct follow_group follow_group_t;

follow_group_t *follow_group_new(void);
void follow_group_free(follow_group_t *group);
/* What a view is based on. */
typedef struct follow_state {
	const char *prefix;
	uint64_t revision; /* changes up to it are known */
	int64_t heard_ms; /* since the last answer */
	int64_t waiting_ms; /* of the call in flight; -1: none is */
	int64_t confirmed_ms; /* since it was known to be current; -1: not checked */
	bool behind; /* another node has a change that this view lacks */
	bool lost;
	uint64_t checks;
	uint64_t missed; /* checks that found what the watch did not bring */
} follow_state_t;

typedef void (*follow_each_t)(const follow_state_t *state, void *user_data);
void follow_group_each(const follow_group_t *group, follow_each_t each,
		       void *user_data);

/* Calls each with what this node knows of a checked view by its own calls. */
typedef void (*follow_each_news_t)(const char *prefix, const view_news_t *news,
				   void *user_data);
void follow_group_each_news(const follow_group_t *group,
			    follow_each_news_t each, void *user_data);
/* Another node has told what it knows of a view; view is fleet_key() of its
 * prefix. */
void follow_group_told(follow_group_t *group, uint64_t view,
		       const view_news_t *news);
/* Sets the number of nodes that share their checks, this one included. */
void follow_group_set_nodes(follow_group_t *group, uint32_t nodes);
/* Sets whom to call when a check of this node has been answered, so that the
 * others need not make it. */
void follow_group_set_checked(follow_group_t *group,
			      void (*checked)(void *user_data),
			      void *user_data);

typedef struct follow_options {
	struct event_base *base;
	const clock_source_t *clock;
	object_store_t *store;
	const char *prefix;
	follow_group_t *group; /* may be NULL */
	int32_t wait_ms; /* of a watch */
	int32_t pause_ms; /* between watches, to batch changes; 0: none */
	int32_t change_pause_ms; /* least pause after a watch that brought changes */
	GRand *random; /* NULL: the view is not checked; its reads may be stale */
	/* An object exists with this value: listed, created or changed. */
	void (*changed)(const object_entry_t *entry, void *user_data);
	void (*removed)(const char *key, void *user_data);
	/* All objects have been listed; keys is the set of their keys. */
	void (*listed)(GHashTable *keys, void *user_data); /* may be NULL */
	void *user_data;
} follow_options_t;

follow_t *follow_new(const follow_options_t *options);
/* True once the objects have been listed completely. */
bool follow_is_synced(const follow_t *follow);
void follow_get_state(const follow_t *follow, follow_state_t *state);
/* Whether the view may lack changes that are in force at other nodes; false for
 * one that is not checked. */
bool follow_may_be_behind(const follow_t *follow);
/* Time of the first answer since the last failure, by clock_now_us(): a suspension
 * is no contact. 0: none since. */
int64_t follow_steady_since_us(const follow_t *follow);

#endif
