#ifndef WASABILINK_GATEWAY_FOLLOW_H
#define WASABILINK_GATEWAY_FOLLOW_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "object/object_store.h"

/*
 * follow - follows all objects under a prefix by a listing and watches.
 *
 * The objects are listed again when the store no longer has the history from a
 * watch's revision. Failures are retried with backoff; each change between a
 * reachable and an unavailable store is logged once.
 */
typedef struct follow follow_t;

typedef struct follow_options {
	struct event_base *base;
	const clock_source_t *clock;
	object_store_t *store;
	const char *prefix;
	int32_t wait_ms; /* of a watch */
	int32_t pause_ms; /* between watches, to batch changes; 0: none */
	int32_t change_pause_ms; /* least pause after a watch that brought changes */
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
/* Time of the first answer since the last failure; 0: none since. */
int64_t follow_steady_since_us(const follow_t *follow);

#endif
