#ifndef WASABILINK_COORD_SWIM_STATE_H
#define WASABILINK_COORD_SWIM_STATE_H

#include "coord/swim.h"

/*
 * swim_state - types and state that the modules of the failure detector share;
 * private to them.
 */

#define SWIM_GOSSIP_FANOUT 3
#define SWIM_LEAVE_FANOUT 8
#define SWIM_SYNC_REQUESTS 3

/* Detector state of a member in addition to the member table. */
typedef struct peer {
	int64_t suspect_until_ms;
	int64_t dead_since_ms;
	uint32_t sends_remaining; /* 0: no pending update */
} peer_t;

typedef struct probe {
	char *address; /* NULL: none in flight */
	uint32_t sequence;
	int64_t indirect_ms;
	gboolean indirect_sent;
	uint32_t nacks_missing;
} probe_t;

/* An indirect probe that this node makes for another one. */
typedef struct relay {
	char *origin;
	uint32_t origin_sequence;
	uint32_t sequence;
	int64_t nack_ms;
} relay_t;

struct swim {
	swim_options_t options;
	member_table_t *members;
	GHashTable *peers; /* address -> peer_t */
	GPtrArray *seeds;
	GPtrArray *probe_order; /* remaining addresses of the probe round */
	GQueue relays;
	probe_t probe;
	uint32_t sequence;
	uint32_t health;
	uint32_t syncs_remaining;
	int64_t next_probe_ms;
	int64_t next_recontact_ms;
	int64_t next_sync_ms;
	int64_t last_tick_ms;
	gboolean has_left;
	gboolean receiving_table; /* MEMBER_TABLE */
};

int64_t swim_state_now_ms(const swim_t *swim);
peer_t *swim_state_peer(swim_t *swim, const char *address);
gboolean swim_state_is_self(const swim_t *swim, const char *address);
void swim_state_change_health(swim_t *swim, int delta);
guint swim_state_pick_live(swim_t *swim, const char *except,
			   const char **picked, guint count);
void swim_state_start_syncs(swim_t *swim);

#endif
