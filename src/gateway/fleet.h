#ifndef WASABILINK_GATEWAY_FLEET_H
#define WASABILINK_GATEWAY_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "gateway/domain_contact.h"
#include "gateway/failure_record.h"
#include "gateway/runner_limit.h"

/*
 * fleet - state of each runner as this node knows it, and runner selection.
 *
 * The load of a runner is the sum of this node's own requests there and of
 * those that the other nodes report. Responses of a runner report its current
 * speed. A runner that has failed is ejected for a growing time, and is
 * selected meanwhile only if no other runner can take the request.
 */
typedef struct fleet fleet_t;

/* Requests in flight at a runner, of one node or of several. */
typedef struct fleet_load {
	uint32_t online;
	uint32_t batch;
} fleet_load_t;

/* A failure domain with runners. */
typedef struct fleet_domain {
	domain_contact_t contact;
	/* While it is lost: another node passes calls on to its runners. */
	bool has_relay;
	/* Sums over the runners of one service that are not ejected, from the
	 * last fleet_each_domain() or selection. The first two leave out
	 * runners that lose most of their requests. */
	uint32_t runners;
	uint32_t online;
	uint32_t total_slots;
	uint32_t free_slots;
} fleet_domain_t;

typedef struct fleet_runner {
	char *id; /* of this process of the runner */
	char *address; /* IP:port */
	char *service;
	char *domain;
	uint64_t key; /* hash of the id, identifies the runner between nodes */
	char *version; /* of the runner's software */
	uint64_t version_key; /* hash of it and of the service; never 0 */
	uint32_t slots;
	int64_t started_ms; /* wall clock of the runner */
	bool draining; /* draining: gets no new requests */
	bool leaving; /* it said so itself; draining until it starts anew */
	bool listed; /* false: removed, only requests in flight refer to it */
	int64_t remove_at_us; /* time of removal; 0: in the runner list */
	fleet_load_t own;
	fleet_load_t peers; /* sum over the other nodes */
	failure_record_t local_failures; /* of this node's requests */
	uint32_t peer_failures_percent; /* sum over the other nodes */
	uint32_t slowness_percent; /* of normal processing time; 100: normal */
	int64_t slowness_us; /* time of that report; 0: none */
	bool slowness_from_runner; /* reported to this node, not by a peer */
	runner_limit_t limit;
	int64_t ejected_until_us;
	uint32_t failures; /* consecutive */
	int64_t served_tokens; /* of the largest request it has served */
	/* Requests of as many tokens or more are kept from it for a while, as it
	 * has refused one; 0: none are. */
	int64_t refused_tokens;
	int64_t refused_until_us;
	uint32_t size_refusals; /* consecutive */
	fleet_domain_t *domain_state; /* its domain, owned by the fleet */
	int refs;
} fleet_runner_t;

/* A runner's entry in the runner list. */
typedef struct fleet_entry {
	const char *id;
	const char *address;
	const char *service;
	const char *domain;
	uint32_t slots;
	int64_t started_ms;
	bool draining;
	const char *version; /* of the software */
} fleet_entry_t;

typedef struct fleet_options {
	const clock_source_t *clock;
	GRand *random;
	const char *domain; /* of this node; its runners cost less */
	void (*load_changed)(
		void *user_data); /* this node's load; may be NULL */
	/* Whether another node passes calls on to the domain's runners; may be
	 * NULL. */
	bool (*has_relay)(const char *domain, void *user_data);
	void *user_data;
	/* fleet_next_probe() is used, so that no request need be a probe. */
	bool probed;
} fleet_options_t;

typedef struct fleet_pick_options {
	const char *service;
	const uint64_t *tried; /* keys of runners with a failed attempt */
	uint32_t tried_count;
	const char *domain; /* only runners there; NULL: any */
	bool batch;
	bool require_healthy; /* no runner that loses most of its requests */
	bool repeated; /* an earlier execution was sent to a runner */
	uint64_t preferred; /* key of the runner to take if it has a free slot;
			       0: none */
	uint64_t version_key; /* only runners of this software; 0: any */
	int64_t tokens; /* of the request; 0: not known */
} fleet_pick_options_t;

fleet_t *fleet_new(const fleet_options_t *options);
void fleet_free(fleet_t *fleet);

/* Adds a runner, or updates the one with the same id. */
void fleet_update(fleet_t *fleet, const fleet_entry_t *entry);
/*
 * Removes the runner at the given monotonic time, or at once when it is
 * draining. Until then it is selected only if no other runner can be: its list
 * entry may have expired only because the store was unavailable.
 */
void fleet_schedule_removal(fleet_t *fleet, const char *id, int64_t until_us);
/* Removes the runners whose time of removal has passed. */
void fleet_remove_expired(fleet_t *fleet);
/*
 * Sets whether the known load of other domains is stale, as in a large system.
 * If so, online requests prefer the local domain more, and batch work stays in
 * it if it has runners.
 */
void fleet_set_remote_load_stale(fleet_t *fleet, bool remote_load_stale);
/* Returns the listed runner, or NULL. */
fleet_runner_t *fleet_find(fleet_t *fleet, uint64_t key);
/* Returns the hash that identifies a runner between nodes. */
uint64_t fleet_key(const char *id);

/*
 * Selects a runner and counts the request in its load until fleet_release().
 * A runner with a failed attempt of the request is selected again only if there
 * is no other. Returns NULL when no runner may take the request now. The
 * pointer is valid until fleet_release().
 */
fleet_runner_t *fleet_acquire(fleet_t *fleet, const fleet_pick_options_t *pick);
void fleet_release(fleet_t *fleet, fleet_runner_t *runner, bool batch);
/* Whether a runner without a failed attempt of the request that is not ejected
 * could be selected now. */
bool fleet_has_healthy(fleet_t *fleet, const fleet_pick_options_t *pick);

/* Estimates the milliseconds that a new online request would wait for a slot of
 * the runner selected for it; INT32_MAX without a runner. version_key: as of the
 * selection. */
int32_t fleet_wait_ms(fleet_t *fleet, const char *service,
		      uint64_t version_key);
/* The service whose runners have this software version; NULL when none that is
 * usable has it. */
const char *fleet_service_of_version(const fleet_t *fleet,
				     uint64_t version_key);
/* The software version of all runners of the service (NULL: none), if all known
 * ones have had the same for this long; else 0. */
uint64_t fleet_sole_version(const fleet_t *fleet, const char *service,
			    int64_t for_us);
/*
 * Appends the key of the runner of each slot that is free for batch work, those
 * of the emptiest runners first. Nodes that know the same load get the same
 * order. Returns the number of all slots of the usable runners.
 */
uint32_t fleet_list_free_slots(fleet_t *fleet, const char *service,
			       GArray *keys);

/* A runner has sent something to this node. */
void fleet_heard(fleet_t *fleet);
/* Whether a connection to a runner has failed since this node last heard any. */
bool fleet_is_silent(const fleet_t *fleet);
/* The runner answered, so its domain is reachable. */
void fleet_answered(fleet_t *fleet, fleet_runner_t *runner);
/* The runner served a request; resets its consecutive failures. */
void fleet_succeeded(fleet_t *fleet, fleet_runner_t *runner);
/* The runner failed a request; ejects it. */
void fleet_failed(fleet_t *fleet, fleet_runner_t *runner);
/* A request that a runner has refused. */
typedef struct fleet_refusal {
	int64_t tokens; /* of the request; 0: not known */
	bool batch;
	bool repeated; /* runners have refused it several times before */
} fleet_refusal_t;

/*
 * The runner refused a request. If it has served none as large, it may lack the
 * memory: requests of this size are kept from it for a while, and smaller ones are
 * not affected. Otherwise it is ejected: for a batch item briefly, and not at all
 * when the item itself is likely at fault, for an online request as by
 * fleet_failed().
 */
void fleet_refused(fleet_t *fleet, fleet_runner_t *runner,
		   const fleet_refusal_t *refusal);
/* The runner has begun to serve a request. */
void fleet_served(fleet_runner_t *runner, int64_t tokens);
/* Whether requests of this size are kept from the runner now. */
bool fleet_refuses_size(const fleet_t *fleet, const fleet_runner_t *runner,
			int64_t tokens);
/* Sizes of requests that the usable runners of a service take now, in tokens. */
typedef struct fleet_sizes {
	int64_t all_take; /* up to here, all of them */
	int64_t some_take; /* up to here, at least one */
} fleet_sizes_t;

fleet_sizes_t fleet_sizes(const fleet_t *fleet, const char *service);
/* As fleet_failed(), for a request lost after the runner received it. */
void fleet_lost_request(fleet_t *fleet, fleet_runner_t *runner);
/* As fleet_failed() and fleet_no_contact(), for a request. */
void fleet_unreachable(fleet_t *fleet, fleet_runner_t *runner);
/* A connection to the runner failed, which may be due to this node's links. */
void fleet_no_contact(fleet_t *fleet, const fleet_runner_t *runner);
/* Another runner has its address. */
void fleet_set_draining(fleet_t *fleet, fleet_runner_t *runner);
/* The runner said in an answer that it leaves. It gets no new requests until it
 * starts anew, whatever the list says. */
void fleet_set_leaving(fleet_t *fleet, fleet_runner_t *runner);
void fleet_report_slowness(fleet_t *fleet, fleet_runner_t *runner,
			   uint32_t percent);
/* A response of the runner had this rate, which may be no limit. */
void fleet_report_rate(fleet_t *fleet, fleet_runner_t *runner,
		       const runner_rate_t *rate);
/* Logs what this node sends to runners with a limit. */
void fleet_log_limits(fleet_t *fleet);
/* The same as another node has reported it, at the given time. */
void fleet_apply_rate(fleet_t *fleet, fleet_runner_t *runner,
		      const runner_rate_t *rate, int64_t told_us);
/* Another node has sent requests to a runner with a limit. */
void fleet_apply_sent(fleet_t *fleet, fleet_runner_t *runner,
		      uint32_t requests);
/* Sets the part of a runner's limit that this node may use: 1 while it hears of
 * what the other nodes send. */
void fleet_set_limit_share(fleet_t *fleet, double share);
/* Milliseconds until a runner of the service with a limit takes a request; 0
 * when one does now or none has a limit. */
int32_t fleet_limit_wait_ms(const fleet_t *fleet, const char *service);

/* A connection of this node to the runner broke while it was in use. */
void fleet_connection_broke(fleet_t *fleet, const fleet_runner_t *runner);
/* Whether the direct path to the runner is lost. */
bool fleet_is_cut_off(const fleet_runner_t *runner);
/* Microseconds since connects to the runner's domain began to fail, if the domain is
 * lost and one to this runner has failed; -1: they have not. */
int64_t fleet_unreachable_for_us(const fleet_t *fleet,
				 const fleet_runner_t *runner);
/* Whether this node has lost its own domain. */
bool fleet_lost_local(const fleet_t *fleet);
/* Finds out whether other nodes pass calls on to the lost domains. To be called
 * several times per second. */
void fleet_update_relays(fleet_t *fleet);
/*
 * Returns a runner to connect to for a sign of contact with its domain: one that
 * is due while the domain is lost, and one other than the runner that has failed
 * last when that may be the first sign of a loss. NULL: none is due. The caller
 * reports the outcome with fleet_answered() or fleet_no_contact().
 */
const fleet_runner_t *fleet_next_probe(fleet_t *fleet);

/* Load of a runner over all nodes, as far as this node knows. */
fleet_load_t fleet_runner_load(const fleet_runner_t *runner);
/* Number of this node's batch requests at the runner to preempt, so that online
 * requests get their slots. draw is uniform in [0, 1). */
uint32_t fleet_batch_excess(const fleet_runner_t *runner, double draw);

typedef void (*fleet_each_domain_t)(const char *name,
				    const fleet_domain_t *domain,
				    void *user_data);
/* Sums up the service's runners by domain and calls each for every domain. */
void fleet_each_domain(fleet_t *fleet, const char *service,
		       fleet_each_domain_t each, void *user_data);

typedef void (*fleet_each_lost_t)(const char *name, void *user_data);
/* Calls each for every domain whose runners this node cannot connect to. */
void fleet_each_lost_domain(const fleet_t *fleet, fleet_each_lost_t each,
			    void *user_data);

typedef void (*fleet_each_t)(fleet_runner_t *runner, void *user_data);
void fleet_each(fleet_t *fleet, fleet_each_t each, void *user_data);
uint32_t fleet_size(const fleet_t *fleet);

#endif
