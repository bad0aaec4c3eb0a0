#ifndef WASABILINK_COORD_ROUTE_H
#define WASABILINK_COORD_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * route - selects a runner for each request of one deployment.
 *
 * A node uses a subset of the runners: those with the highest rendezvous
 * weights within its domain. The rest of the domain's runners and other domains
 * are used only when the domain has too few runners or all of them are full.
 *
 * The policy `observed` uses this node's own requests in flight and the
 * runner's slowness, a decaying peak of the ratio of observed to typical times,
 * which the age of unanswered requests also raises. Load reports arrive late
 * and only add what other nodes have in flight. `random`, `round-robin` and
 * `least-reported` are baselines for measurements.
 *
 * A runner that is much slower than the others, or fails much more often, is
 * ejected for a growing time and then probed with one request. A runner that
 * refuses a request gets no new ones until its block time ends, whatever the VM
 * list says.
 */
#define ROUTE_CLASSES 20 /* of requests, see hedge_class() */

typedef struct route route_t;

typedef enum route_outcome {
	ROUTE_OUTCOME_ANSWERED,
	ROUTE_OUTCOME_FAILED, /* error response, truncated or stalled */
	ROUTE_OUTCOME_REFUSED, /* not connected, draining, busy or wrong version */
	ROUTE_OUTCOME_NEUTRAL /* cancelled, or the request was at fault */
} route_outcome_t;

typedef struct route_runner {
	char *address;
	char *domain;
	uint64_t weight; /* rendezvous weight for this node */
	uint32_t in_flight; /* of this node */
	uint32_t slots; /* 0: unknown */
	uint32_t others_in_flight; /* of other nodes, by the last report */
	uint32_t reported_load; /* running and queued by the last report */
	double slowness; /* 1: typical */
	int64_t slowness_us; /* time of the last change */
	/* route_attempt_t without a first token, oldest first. */
	GQueue unanswered;
	/* Mean over about one second, to compare with delayed reports. */
	double in_flight_mean;
	int64_t in_flight_us; /* time of the last change */
	double failure_rate; /* recent, 0..1 */
	uint32_t refusals; /* consecutive */
	uint32_t missed_reports; /* load reports since its last answer */
	uint32_t heard; /* counts what came from it, for route_question_t */
	uint32_t unheard_questions; /* in a row, see route_unheard() */
	int64_t unheard_since_us; /* when the first of them was sent */
	uint32_t ejections; /* recent; determines the next ejection time */
	int64_t blocked_until_us;
	int64_t healthy_since_us;
	bool on_probation; /* gets one request at a time */
	bool draining;
	bool in_subset; /* in one of this node's subsets */
	bool used_first; /* in the subset that is used before the other */
} route_runner_t;

/* One attempt of a request; part of the caller's own structure. */
typedef struct route_attempt {
	route_runner_t *runner;
	uint32_t class_index;
	int64_t started_us;
	bool answered; /* first token seen */
	GList link;
} route_attempt_t;

/* A question for a runner's load, see route_ask(). */
typedef struct route_question {
	int64_t asked_us;
	uint32_t heard; /* of the runner, when it was asked */
} route_question_t;

typedef struct route_request {
	uint32_t class_index;
	uint64_t prefix_hash; /* 0: none */
	const route_runner_t *const *exclude; /* runners of earlier attempts */
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
	uint32_t min_local; /* with fewer in the domain, others are added */
} route_options_t;

bool route_policy_exists(const char *name);

route_t *route_new(const route_options_t *options);
/* No attempt may be in flight. */
void route_free(route_t *route);

/* Sets the live runners. A runner that is missing is draining: it gets no new
 * requests and is removed when its attempts have ended. */
void route_update(route_t *route, const route_candidate_t *candidates,
		  uint32_t count);

/* Returns the runner for a request, or NULL when none accepts work. */
route_runner_t *route_select(route_t *route, const route_request_t *request);
/* Runners that this node uses first (route_runner_t); valid until the next
 * update. */
const GPtrArray *route_subset(const route_t *route);
/* All known runners, route_runner_t. */
const GPtrArray *route_runners(const route_t *route);
/*
 * Returns the slots for this node's online requests: the slots of the used
 * runners that accept work, without those that others use there, but at least
 * this node's share of all. Reports do not distinguish batch items, and those
 * are preempted by online requests. default_slots is used for runners whose
 * slots are unknown.
 */
uint32_t route_capacity(const route_t *route, uint32_t default_slots,
			uint32_t nodes);

void route_begin(route_t *route, route_attempt_t *attempt,
		 route_runner_t *runner, uint32_t class_index);
/* Records the first token or a complete response. Returns the time it took. */
int64_t route_answered(route_t *route, route_attempt_t *attempt);
/* retry_after_ms is only used with ROUTE_OUTCOME_REFUSED; 0: not given. */
void route_finish(route_t *route, route_attempt_t *attempt,
		  route_outcome_t outcome, int64_t retry_after_ms);

/* Whether the runner answers neither requests nor questions for its load. It is
 * selected only when no other runner takes work. */
bool route_is_silent(const route_runner_t *runner);
/* Time since the start of the oldest attempt without an answer; 0: none. */
int64_t route_unanswered_us(const route_t *route, const route_runner_t *runner);

/* To be called when a question for the runner's load is sent. */
route_question_t route_ask(const route_t *route, const route_runner_t *runner);
/* Records that the question had no response of any kind. Has no effect when
 * something came from the runner meanwhile. */
void route_unheard(route_runner_t *runner, const route_question_t *question);
/* Records a response or a part of one, whatever it says. */
void route_heard(route_runner_t *runner);
/*
 * Whether nothing comes from any runner that this node may select: each has
 * left two questions in a row without a response, over two seconds at least, and
 * has sent nothing meanwhile. False without runners.
 */
bool route_is_cut_off(const route_t *route);

/* Records that the runner did not report its load in time. */
void route_report_missed(route_runner_t *runner);
/* Records a load report about the runner. */
void route_report(const route_t *route, route_runner_t *runner,
		  uint32_t running, uint32_t queued, uint32_t slots);

#endif
