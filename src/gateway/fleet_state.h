#ifndef WASABILINK_GATEWAY_FLEET_STATE_H
#define WASABILINK_GATEWAY_FLEET_STATE_H

#include "gateway/fleet.h"

/*
 * fleet_state - types and functions shared by the modules of the fleet, private
 * to them
 */

/* The software versions of a service's runners. */
typedef struct service_versions {
	uint64_t last; /* of the runner whose entry changed last; 0: none */
	int64_t mixed_us; /* when the entries last had more than one */
} service_versions_t;

struct fleet {
	const clock_source_t *clock;
	GRand *random;
	char *domain;
	GHashTable *by_key; /* uint64_t -> fleet_runner_t, listed */
	GPtrArray *listed; /* the same runners, for iteration */
	GHashTable *domains; /* name -> fleet_domain_t */
	GHashTable *versions; /* service -> service_versions_t */
	int64_t created_us;
	int64_t heard_us; /* last bytes of any runner to this node; 0: none */
	int64_t unreachable_us; /* last connection to any that failed; 0: none */
	fleet_domain_t *local_domain; /* state of this node's domain */
	void (*load_changed)(void *user_data);
	bool (*has_relay)(const char *domain, void *user_data);
	void *user_data;
	double limit_share;
	bool remote_load_stale;
	bool probed;
};

void fleet_runner_unref(void *runner);
fleet_domain_t *fleet_find_or_add_domain(fleet_t *fleet, const char *name);
/* Reports that this node's load or contact has changed. */
void fleet_load_changed(const fleet_t *fleet);
bool fleet_is_remote(const fleet_t *fleet, const fleet_runner_t *runner);
bool fleet_is_usable(const fleet_runner_t *runner, const char *service);
bool fleet_is_ejected(const fleet_t *fleet, const fleet_runner_t *runner);
/* Ejects the runner for a time that does not grow. */
void fleet_eject_briefly(fleet_t *fleet, fleet_runner_t *runner);
/* A request is sent to the runner. If one of its size was refused, others of the
 * size wait for the outcome. */
void fleet_try_size(fleet_t *fleet, fleet_runner_t *runner, int64_t tokens);
/* Whether the domain's runners are out of reach, also through other nodes. */
bool fleet_avoids_domain(const fleet_t *fleet, const fleet_domain_t *domain);

#endif
