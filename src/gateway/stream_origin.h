#ifndef WASABILINK_GATEWAY_STREAM_ORIGIN_H
#define WASABILINK_GATEWAY_STREAM_ORIGIN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"

/*
 * stream_origin - at which software version of the runners streams have begun,
 * by the id of the client attempt that brought the first event.
 *
 * A client may take a stream up at any node, also after the node that had it was
 * killed. A node therefore tells a few others of each stream that begins, and
 * asks them about one that it does not know. Entries are kept as long as the
 * client may take the stream up, and at most STREAM_ORIGINS_MAX; a full table
 * drops the oldest.
 */
typedef struct stream_origins stream_origins_t;

#define STREAM_ORIGINS_MAX 32768
/* Longest time for which an entry is kept. */
#define STREAM_ORIGIN_LIFE_MAX_MS (10 * 60 * 1000)
/* Size in bytes of a datagram. */
#define STREAM_ORIGIN_MAX_BYTES 64

typedef struct stream_origins_options {
	const clock_source_t *clock;
	counter_set_t *counters;
	/* Sends a datagram to the nodes that keep a stream's entry; returns
	 * their number. Every node selects mostly the same ones. */
	uint32_t (*send)(uint64_t stream, const char *data, size_t len,
			 void *user_data);
	/* A node, by its key, has answered; version 0: it does not know the
	 * stream. */
	void (*answered)(uint64_t stream, uint64_t node, uint64_t version,
			 void *user_data);
	void *user_data;
} stream_origins_options_t;

stream_origins_t *stream_origins_new(const stream_origins_options_t *options);
void stream_origins_free(stream_origins_t *origins);

/* Key of a stream by the id of its first client attempt. */
uint64_t stream_origin_key(const char *attempt);
/* The stream has begun at a version. life_ms: its client may take it up for as
 * long. */
void stream_origins_begin(stream_origins_t *origins, uint64_t stream,
			  uint64_t version, int64_t life_ms);
/* Returns the version; 0: this node does not know. */
uint64_t stream_origins_find(const stream_origins_t *origins, uint64_t stream);
/* Asks other nodes; returns their number. Each may answer or not. */
uint32_t stream_origins_ask(stream_origins_t *origins, uint64_t stream);
void stream_origins_expire(stream_origins_t *origins);
uint32_t stream_origins_size(const stream_origins_t *origins);

/* Whether a datagram is of this module, by its first bytes. */
bool stream_origin_is_report(const char *data, size_t len);
/* Applies another node's datagram. node tells the nodes apart. Writes an answer of
 * up to STREAM_ORIGIN_MAX_BYTES; returns its length, 0: none is due. */
size_t stream_origins_apply(stream_origins_t *origins, uint64_t node,
			    const char *data, size_t len, char *answer);

#endif
