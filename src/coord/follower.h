#ifndef WASABILINK_COORD_FOLLOWER_H
#define WASABILINK_COORD_FOLLOWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * follower - decides when and from where to fetch a configuration document,
 * without I/O.
 *
 * It applies only higher versions, whatever arrives late, twice or out of
 * order. A watcher (one per failure domain) lists the object's version, watches
 * from the listed revision and lists again when the watch is refused or lost.
 * Other nodes learn of versions through membership messages and fetch from a
 * peer that announced them. They read the store only when no peer answers,
 * spread over a time that grows with the fleet.
 *
 * The owner calls follower_tick() about every FOLLOWER_TICK_MS, carries out the
 * operations and reports the outcome of each exactly once. At most one
 * operation of each kind is in flight.
 */
#define FOLLOWER_TICK_MS 100
#define FOLLOWER_DIGEST_BYTES 32

typedef struct follower follower_t;

typedef enum follower_outcome {
	FOLLOWER_OK,
	FOLLOWER_NOT_FOUND, /* no such object, or a peer that has no document */
	FOLLOWER_REVISION_TOO_OLD, /* the watch's revision is too old */
	FOLLOWER_FAILED
} follower_outcome_t;

typedef struct follower_options {
	const clock_source_t *clock;
	GRand *random; /* borrowed */
	void (*list)(void *user_data); /* revision and version of the object */
	void (*get)(void *user_data);
	void (*watch)(uint64_t since, void *user_data);
	/* have_version 0 requests the complete document. */
	void (*fetch)(const char *address, uint64_t have_version,
		      void *user_data);
	/* Returns FALSE for an invalid document; the current one stays in
	 * force. */
	gboolean (*apply)(uint64_t version, const uint8_t *digest, GBytes *data,
			  void *user_data);
	void *user_data;
} follower_options_t;

follower_t *follower_new(const follower_options_t *options);
void follower_free(follower_t *follower);
void follower_tick(follower_t *follower, bool is_watcher, uint32_t fleet_size);

/* Records that a peer has applied the version. To be called repeatedly for as
 * long as the peer has it, because a source that failed is removed. */
void follower_announced(follower_t *follower, const char *address,
			uint64_t version, const uint8_t *digest);

/* Outcomes of the operations. version is 0 when there is no object or no event
 * for it. */
void follower_listed(follower_t *follower, follower_outcome_t outcome,
		     uint64_t revision, uint64_t version);
void follower_watched(follower_t *follower, follower_outcome_t outcome,
		      uint64_t revision, uint64_t version);
void follower_got(follower_t *follower, follower_outcome_t outcome,
		  uint64_t version, GBytes *data);
/* digest is the one the peer states; the data must match it. */
void follower_fetched(follower_t *follower, follower_outcome_t outcome,
		      uint64_t version, const uint8_t *digest, GBytes *data);

/* Version in force, 0 for none. */
uint64_t follower_version(const follower_t *follower);
/* Highest version known to exist. */
uint64_t follower_known(const follower_t *follower);

#endif
