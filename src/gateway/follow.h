#ifndef WASABILINK_GATEWAY_FOLLOW_H
#define WASABILINK_GATEWAY_FOLLOW_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "object/object_store.h"

/*
 * follow - keeps a view of all objects under a prefix by a listing and watches.
 *
 * After a watch whose history is gone, the objects are listed again. Failures
 * are retried after a pause that grows; each loss and return of the store is
 * logged once.
 */
typedef struct follow follow_t;

typedef struct follow_options {
	struct event_base *base;
	const clock_source_t *clock;
	object_store_t *store;
	const char *prefix;
	int32_t wait_ms; /* of a watch */
	int32_t pause_ms; /* between watches, so that changes gather; 0: none */
	int32_t gather_ms; /* the same, only after a watch with changes */
	/* An object was created or changed. */
	void (*changed)(const object_entry_t *entry, void *user_data);
	void (*removed)(const char *key, void *user_data);
	/* All objects have been listed; keys is the set of their keys. */
	void (*listed)(GHashTable *keys, void *user_data); /* may be NULL */
	void *user_data;
} follow_options_t;

follow_t *follow_new(const follow_options_t *options);
/* True once a listing has been read. */
bool follow_is_synced(const follow_t *follow);
/* Start of the present run of answers without a failure between them. */
int64_t follow_steady_since_us(const follow_t *follow);

#endif
