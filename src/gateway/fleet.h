#ifndef WASABILINK_GATEWAY_FLEET_H
#define WASABILINK_GATEWAY_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "gateway/domain_contact.h"
#include "gateway/failure_record.h"

/*
 * fleet - what this node believes about each runner, and the choice of one.
 *
 * The load of a runner is the sum of this node's own requests there and of
 * what the other nodes report to have there. Reports of the runner itself tell
 * its speed of the moment. A runner that has failed is avoided for a while,
 * unless no other can take the request.
 */
typedef struct fleet fleet_t;

/* Requests that one node has at a runner. */
typedef struct fleet_load {
	uint32_t online;
	uint32_t batch;
} fleet_load_t;

/* A failure domain with runners. */
typedef struct fleet_domain {
	domain_contact_t contact;
	/* Sums over the runners of one service that are not avoided, as last
	 * surveyed; the first two without those that lose most requests. */
	uint32_t runners;
	uint32_t online;
	uint32_t places;
	uint32_t free_places;
} fleet_domain_t;

typedef struct fleet_runner {
	char *id; /* of this start of the runner */
	char *address; /* IP:port */
	char *service;
	char *domain;
	uint64_t key; /* hash of the id, names the runner between nodes */
	uint32_t slots;
	int64_t started_ms; /* wall clock of the runner */
	bool leaving; /* gets no new requests */
	bool listed; /* known to the fleet; false: only requests refer to it */
	int64_t gone_at_us; /* to be forgotten then; 0: in the runner list */
	fleet_load_t own;
	fleet_load_t peers; /* sum over the other nodes */
	failure_record_t failures_here; /* seen by this node */
	uint32_t peers_failures_percent; /* sum over the other nodes */
	uint32_t slowness_percent; /* of usual work time, 100: as usual */
	int64_t slowness_us; /* when that was reported, 0: never */
	bool speed_is_own; /* the runner told this node */
	int64_t avoid_until_us;
	uint32_t failures; /* in a row */
	fleet_domain_t *home; /* its domain, owned by the fleet */
	int refs;
} fleet_runner_t;

/* What the runner list says of a runner. */
typedef struct fleet_entry {
	const char *id;
	const char *address;
	const char *service;
	const char *domain;
	uint32_t slots;
	int64_t started_ms;
	bool leaving;
} fleet_entry_t;

typedef struct fleet_options {
	const clock_source_t *clock;
	GRand *random;
	const char *domain; /* of this node; near runners win a tie */
	void (*load_changed)(void *user_data); /* own load; may be NULL */
	void *user_data;
} fleet_options_t;

typedef struct fleet_wish {
	const char *service;
	const uint64_t *tried; /* keys of runners that failed this request */
	uint32_t tried_count;
	const char *domain; /* only runners there; NULL: the fleet chooses */
	bool batch;
	bool careful; /* not at a runner that loses most of its requests */
} fleet_wish_t;

fleet_t *fleet_new(const fleet_options_t *options);
void fleet_free(fleet_t *fleet);

/* Adds or changes a runner by id. */
void fleet_update(fleet_t *fleet, const fleet_entry_t *entry);
/*
 * The runner has left the list. Until the given time it is used where no other
 * can be: an entry may have expired only because the store was away.
 */
void fleet_lapse(fleet_t *fleet, const char *id, int64_t until_us);
/* Forgets runners whose time after leaving the list is over. */
void fleet_expire(fleet_t *fleet);
/*
 * Load in other domains is known late, as in a large system: online requests
 * prefer their own domain more, and batch work keeps to it if it has runners.
 */
void fleet_set_far_late(fleet_t *fleet, bool far_late);
/* The listed runner, or NULL. */
fleet_runner_t *fleet_find(fleet_t *fleet, uint64_t key);
/* Hash that names a runner between nodes. */
uint64_t fleet_key(const char *id);

/*
 * Chooses a runner and counts the request there until fleet_done(). One that
 * failed the request before is chosen again only if there is no other. NULL: no
 * runner may take it now. The pointer is valid until fleet_done().
 */
fleet_runner_t *fleet_take(fleet_t *fleet, const fleet_wish_t *wish);
void fleet_done(fleet_t *fleet, fleet_runner_t *runner, bool batch);

/* Milliseconds that a new online request would wait for a place at the runner
 * that it would be sent to; INT32_MAX without a runner. */
int32_t fleet_wait_ms(fleet_t *fleet, const char *service);
/* Free places for batch work over usable runners of a service, and all their
 * places. */
int32_t fleet_free_places(fleet_t *fleet, const char *service, int32_t *places);

/* The runner answered, so its domain can be reached. */
void fleet_answered(fleet_t *fleet, fleet_runner_t *runner);
/* A request there was served; forgets earlier failures. */
void fleet_succeeded(fleet_t *fleet, fleet_runner_t *runner);
/* A request there failed or was refused; the runner is avoided for a while. */
void fleet_failed(fleet_t *fleet, fleet_runner_t *runner);
/* The same, and the runner lost the request after it had got it. */
void fleet_lost_request(fleet_t *fleet, fleet_runner_t *runner);
/* The same, and no connection to the runner could be made. */
void fleet_unreachable(fleet_t *fleet, fleet_runner_t *runner);
/* The runner said itself that it leaves, or another one has its address. */
void fleet_leaving(fleet_t *fleet, fleet_runner_t *runner);
void fleet_report_slowness(fleet_t *fleet, fleet_runner_t *runner,
			   uint32_t percent);

/* What all nodes have at a runner, as far as this node knows. */
fleet_load_t fleet_runner_load(const fleet_runner_t *runner);
/* Own batch requests at the runner to cancel, so that online ones find a
 * place there. draw is uniform in [0, 1). */
uint32_t fleet_batch_excess(const fleet_runner_t *runner, double draw);

typedef void (*fleet_each_domain_t)(const char *name,
				    const fleet_domain_t *domain,
				    void *user_data);
/* Calls each with the domains and their sums for the service. */
void fleet_each_domain(fleet_t *fleet, const char *service,
		       fleet_each_domain_t each, void *user_data);

typedef void (*fleet_each_t)(fleet_runner_t *runner, void *user_data);
void fleet_each(fleet_t *fleet, fleet_each_t each, void *user_data);
uint32_t fleet_size(const fleet_t *fleet);

#endif
