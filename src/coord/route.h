#ifndef WASABILINK_COORD_ROUTE_H
#define WASABILINK_COORD_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * route - choice of a runner for each request of one deployment.
 *
 * A node uses a subset of the runners: the highest rendezvous hashes within
 * its domain; the rest of the domain's share and other domains only when the
 * domain has too few or all of its runners are full.
 *
 * The policy `observed` goes by this node's own requests in flight and by the
 * runner's slowness, a decayed peak of observed over usual times that the age
 * of unanswered requests also raises. Load reports, which come late, only add
 * what other nodes have in flight. `random`, `round-robin` and
 * `least-reported` are baselines for measurements.
 *
 * A runner much slower than the others, or one that fails much more often, is
 * ejected for a growing time and then probed with one request. A runner that
 * refuses gets nothing new until its time is over, whatever the VM list says.
 */
#define ROUTE_CLASSES 20 /* of requests, see hedge_class() */

typedef struct route route_t;

typedef enum route_end {
	ROUTE_END_ANSWERED,
	ROUTE_END_FAILED, /* error answer, cut or stalled */
	ROUTE_END_REFUSED, /* not connected, draining, busy, wrong version */
	ROUTE_END_NEUTRAL /* cancelled, or the request was at fault */
} route_end_t;

typedef struct route_runner {
	char *address;
	char *domain;
	uint64_t weight; /* rendezvous weight for this node */
	uint32_t in_flight; /* of this node */
	uint32_t slots; /* 0: unknown */
	uint32_t foreign; /* running for others by the last report */
	uint32_t reported; /* running and queued by the last report */
	double slowness; /* 1: as usual */
	int64_t slowness_us; /* time of the last change */
	GQueue waiting; /* route_call_t without a first token, oldest first */
	double in_flight_mean; /* over about a second, to match late reports */
	int64_t in_flight_us; /* time of the last change */
	double failure_rate; /* recent, 0..1 */
	uint32_t refusals; /* in a row */
	uint32_t ejections; /* recent, set the next time-out */
	int64_t blocked_until_us;
	int64_t healthy_since_us;
	bool on_probation; /* takes one request at a time */
	bool leaving;
	bool used; /* part of this node's subsets */
} route_runner_t;

/* One try of a request; part of the caller's own structure. */
typedef struct route_call {
	route_runner_t *runner;
	uint32_t class_index;
	int64_t started_us;
	bool answered; /* first token seen */
	GList link;
} route_call_t;

typedef struct route_request {
	uint32_t class_index;
	uint64_t prefix_hash; /* 0: none */
	const route_runner_t *const *exclude; /* already tried */
	uint32_t exclude_count;
} route_request_t;

typedef struct route_candidate {
	const char *address;
	const char *domain;
} route_candidate_t;

typedef struct route_options {
	const clock_source_t *clock;
	GRand *random;
	const char *node; /* key of the rendezvous hash */
	const char *domain;
	const char *policy; /* NULL: observed */
	uint32_t subset; /* most runners that a node uses per domain group */
	uint32_t min_local; /* fewer in the domain: others are added */
} route_options_t;

bool route_policy_exists(const char *name);

route_t *route_new(const route_options_t *options);
/* No call may be in flight. */
void route_free(route_t *route);

/* Sets the live runners. One that is missing is leaving: it gets nothing new
 * and is forgotten when its calls have ended. */
void route_update(route_t *route, const route_candidate_t *candidates,
		  uint32_t count);

/* The runner for a request, or NULL when none takes work. */
route_runner_t *route_choose(route_t *route, const route_request_t *request);
/* Runners that this node uses, route_runner_t; valid until the next update. */
const GPtrArray *route_subset(const route_t *route);
/* All known runners, route_runner_t. */
const GPtrArray *route_runners(const route_t *route);
/*
 * Places for this node's online requests: those of the used runners that take
 * work, without what others run there, but at least this node's share of all.
 * Reports do not tell batch items apart, and those yield to online requests.
 * default_slots stands for unknown ones.
 */
uint32_t route_capacity(const route_t *route, uint32_t default_slots,
			uint32_t nodes);

void route_begin(route_t *route, route_call_t *call, route_runner_t *runner,
		 uint32_t class_index);
/* The first token, or a whole answer. Returns the time it took. */
int64_t route_answered(route_t *route, route_call_t *call);
/* retry_after_ms is only used with ROUTE_END_REFUSED; 0: not told. */
void route_finish(route_t *route, route_call_t *call, route_end_t end,
		  int64_t retry_after_ms);

/* A load report about the runner. */
void route_report(const route_t *route, route_runner_t *runner,
		  uint32_t running, uint32_t queued, uint32_t slots);

#endif
