#ifndef WASABILINK_ENTRY_VM_FOLLOW_H
#define WASABILINK_ENTRY_VM_FOLLOW_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "coord/member.h"
#include "object/object_store.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * vm_follow - keeps this node's copy of the platform's VM list up to date.
 *
 * Only one node per failure domain, the watcher, reads the list from the
 * platform. At the design size the list has about 1,100 entries, and 380 nodes
 * reading it every second would use a fifth of the platform's read rate and far
 * more than a node's bandwidth budget for control traffic. The other nodes
 * fetch the changes from the watcher. A node that cannot reach the watcher, or
 * whose watcher has not read the list for some periods, reads it itself. If the platform does not answer either, the last list
 * stays in use.
 */
typedef struct vm_follow vm_follow_t;

/* vms is an array of platform_vm_t. */
typedef void (*vm_follow_changed_t)(const GArray *vms, void *user_data);

typedef struct vm_follow_options {
	struct event_base *base;
	const clock_source_t *clock;
	object_store_t *store;
	member_table_t *members;
	rpc_client_t *rpc_client;
	rpc_server_t *rpc_server;
	counter_set_t *counters;
	GRand *random;
	int32_t period_ms;
	vm_follow_changed_t changed;
	void *user_data;
} vm_follow_options_t;

vm_follow_t *vm_follow_new(const vm_follow_options_t *options);
void vm_follow_free(vm_follow_t *follow);

#endif
