#ifndef WASABILINK_PLATFORM_OBJECT_WRITER_H
#define WASABILINK_PLATFORM_OBJECT_WRITER_H

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "object/object_store.h"

/*
 * object_writer - creates objects that are written once.
 *
 * Each object gets a writer token of its own (node id, start of the process,
 * sequence). A write whose answer was lost is repeated with the same token: a
 * conflict then names the object's writer, and the own token means that the
 * first write took effect. Writes that were refused are repeated with growing
 * pauses until the deadline.
 */
typedef struct object_writer object_writer_t;

typedef enum object_write_outcome {
	OBJECT_WRITTEN,
	OBJECT_LOST, /* another writer's object exists */
	OBJECT_REFUSED, /* the store refuses it for good, such as its size */
	OBJECT_UNKNOWN /* deadline passed; the effect is unknown */
} object_write_outcome_t;

typedef void (*object_written_t)(object_write_outcome_t outcome,
				 void *user_data);

object_writer_t *object_writer_new(struct event_base *base,
				   object_store_t *store,
				   const clock_source_t *clock,
				   const char *node_id);
/* Drops what is pending without its completions. */
void object_writer_free(object_writer_t *writer);

/* timeout_ms 0: repeats until object_writer_free(). */
void object_writer_create(object_writer_t *writer, const char *key,
			  GBytes *data, int32_t timeout_ms,
			  object_written_t written, void *user_data);

#endif
