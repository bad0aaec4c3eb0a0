#ifndef WASABILINK_ENTRY_CONFIG_FOLLOW_H
#define WASABILINK_ENTRY_CONFIG_FOLLOW_H

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "config/document.h"
#include "coord/member.h"
#include "entry/membership.h"
#include "object/object_store.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

/*
 * config_follow - keeps the node's configuration document up to date.
 *
 * Executes the operations of coord/follower on the object store and on peers
 * (CONFIG_FETCH), answers peers' fetches with a difference when it still has
 * their version, and announces the version that it has applied. In the
 * environment "trial", the node selected by rendezvous hashing writes the
 * object trial/<digest> after it has served with the document for 1 s;
 * `config promote` requires this object.
 */
typedef struct config_follow config_follow_t;

typedef struct config_follow_options {
	struct event_base *base;
	const clock_source_t *clock;
	GRand *random; /* borrowed, as are all pointers below */
	counter_set_t *counters;
	object_store_t *store;
	member_table_t *members;
	membership_t *membership;
	rpc_client_t *rpc_client;
	rpc_server_t *rpc_server;
	const char *environment;
	const char *node_id; /* written into the trial object */
	/* Called when a document is applied; take a reference to keep it. */
	void (*applied)(document_t *document, uint64_t version,
			void *user_data);
	void *user_data;
} config_follow_options_t;

config_follow_t *config_follow_new(const config_follow_options_t *options);
void config_follow_free(config_follow_t *follow);

#endif
