#ifndef WASABILINK_COORD_FOLLOWER_H
#define WASABILINK_COORD_FOLLOWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * follower - decides when and from where to take a configuration document;
 * without I/O.
 *
 * It adopts only higher versions, whatever arrives late, twice or out of
 * order. A watcher (one per failure domain) lists the object's version, holds
 * a watch from the listed revision and lists again when the watch is refused
 * or lost. Other nodes hear of versions by membership and fetch from a peer
 * that announced them; they read the store only when no peer answers, spread
 * over a time that grows with the fleet.
 *
 * The owner runs follower_tick() about every FOLLOWER_TICK_MS, carries out the
 * operations and reports each one's outcome exactly once. At most one
 * operation of each kind is in flight.
 */
#define FOLLOWER_TICK_MS 100
#define FOLLOWER_DIGEST_BYTES 32

typedef struct follower follower_t;

typedef enum follower_outcome {
	FOLLOWER_OK,
	FOLLOWER_ABSENT, /* no such object, or a peer without a document */
	FOLLOWER_GONE, /* the watch's revision is too old */
	FOLLOWER_FAILED
} follower_outcome_t;

typedef struct follower_options {
	const clock_source_t *clock;
	GRand *random; /* borrowed */
	void (*list)(void *user_data); /* revision and version of the object */
	void (*get)(void *user_data);
	void (*watch)(uint64_t since, void *user_data);
	/* have_version 0 asks for the whole document. */
	void (*fetch)(const char *address, uint64_t have_version,
		      void *user_data);
	/* FALSE: the document is invalid; the present one stays in force. */
	gboolean (*adopt)(uint64_t version, const uint8_t *digest, GBytes *data,
			  void *user_data);
	void *user_data;
} follower_options_t;

follower_t *follower_new(const follower_options_t *options);
void follower_free(follower_t *follower);
void follower_tick(follower_t *follower, bool is_watcher, uint32_t fleet_size);

/* A peer announces that it has adopted the version; repeated for as long as
 * the peer is a source, because a source that failed is forgotten. */
void follower_heard(follower_t *follower, const char *address, uint64_t version,
		    const uint8_t *digest);

/* Outcomes. version is 0 when there is no object or no event for it. */
void follower_listed(follower_t *follower, follower_outcome_t outcome,
		     uint64_t revision, uint64_t version);
void follower_watched(follower_t *follower, follower_outcome_t outcome,
		      uint64_t revision, uint64_t version);
void follower_got(follower_t *follower, follower_outcome_t outcome,
		  uint64_t version, GBytes *data);
/* digest is the peer's claim, which the data must match. */
void follower_fetched(follower_t *follower, follower_outcome_t outcome,
		      uint64_t version, const uint8_t *digest, GBytes *data);

/* Version in force, 0 for none. */
uint64_t follower_version(const follower_t *follower);
/* Highest version that is known to exist. */
uint64_t follower_known(const follower_t *follower);

#endif
