#include "coord/swim_state.h"

#include <string.h>

#define MAX_HEALTH 8

int64_t swim_state_now_ms(const swim_t *swim)
{
	return clock_now_ms(swim->options.clock);
}

peer_t *swim_state_peer(swim_t *swim, const char *address)
{
	peer_t *peer = g_hash_table_lookup(swim->peers, address);

	if (!peer) {
		peer = g_new0(peer_t, 1);
		g_hash_table_insert(swim->peers, g_strdup(address), peer);
	}
	return peer;
}

gboolean swim_state_is_self(const swim_t *swim, const char *address)
{
	return strcmp(member_self(swim->members)->address, address) == 0;
}

void swim_state_change_health(swim_t *swim, int delta)
{
	swim->health =
		(uint32_t)CLAMP((int)swim->health + delta, 0, MAX_HEALTH);
}

guint swim_state_pick_live(swim_t *swim, const char *except,
			   const char **picked, guint count)
{
	const GPtrArray *all = member_all(swim->members);
	guint found = 0, seen = 0;

	/* Reservoir sampling. */
	for (guint i = 1; i < all->len; i++) {
		const member_t *member = all->pdata[i];
		guint index;

		if (member->state == MEMBER_DEAD ||
		    (except && strcmp(member->address, except) == 0))
			continue;
		seen++;
		index = found < count ?
				found++ :
				(guint)g_rand_int_range(swim->options.random, 0,
							(gint32)seen);
		if (index < count)
			picked[index] = member->address;
	}
	return found;
}

void swim_state_start_syncs(swim_t *swim)
{
	swim->syncs_remaining = SWIM_SYNC_REQUESTS;
	swim->next_sync_ms = 0;
}
