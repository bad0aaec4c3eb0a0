#ifndef WASABILINK_BACKEND_RUNNER_H
#define WASABILINK_BACKEND_RUNNER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * runner - the runners that this node knows: engines and plain services.
 *
 * The set follows the VM list of the platform. A runner that is no longer
 * listed is kept until its requests in flight have ended. An address that is listed
 * for another deployment than before is another runner.
 */
typedef enum runner_state {
	RUNNER_LIVE,
	RUNNER_DRAINING /* gets no new requests */
} runner_state_t;

typedef struct runner {
	char *address; /* IP:port */
	char *domain;
	char *partner;
	char *deployment; /* or the name of a plain service */
	bool is_service;
	runner_state_t state;
	uint32_t in_flight; /* requests in flight from this node */
} runner_t;

typedef struct runner_set runner_set_t;

runner_set_t *runner_set_new(void);
void runner_set_free(runner_set_t *set);
/* vms is an array of platform_vm_t. */
void runner_set_update(runner_set_t *set, const GArray *vms);
/*
 * Returns the live runner_t of the partner's deployment or service. The set
 * owns the array, which is valid until the next call.
 */
const GPtrArray *runner_set_find(runner_set_t *set, const char *partner,
				 const char *deployment, bool is_service);
/* Returns all live engines, in the same array as runner_set_find(). */
const GPtrArray *runner_set_engines(runner_set_t *set);
uint32_t runner_set_size(const runner_set_t *set);

#endif
