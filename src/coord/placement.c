#include "coord/placement.h"

#include <string.h>

#include "coord/ring.h"

/* Keys a member may have beyond an equal share, in percent. Without slack a
 * lost member would move many more keys than it had. */
#define SLACK_PERCENT 25
#define NOBODY (-1)

typedef struct place {
	uint64_t key_hash;
	char *owner;
	bool own;
	bool standby;
} place_t;

struct placement {
	const member_table_t *members;
	place_t *places;
	uint32_t count;
	uint32_t *loads; /* by index in the member table */
	bool any_store; /* some alive member reaches the store */
};

placement_t *placement_new(const member_table_t *members, const char *prefix,
			   uint32_t count)
{
	placement_t *placement = g_new0(placement_t, 1);

	placement->members = members;
	placement->count = count;
	placement->places = g_new0(place_t, count);
	for (uint32_t i = 0; i < count; i++) {
		char *key = g_strdup_printf("%s%u", prefix, i);

		placement->places[i].key_hash = ring_key_hash(key);
		g_free(key);
	}
	placement_update(placement);
	return placement;
}

void placement_free(placement_t *placement)
{
	if (!placement)
		return;
	for (uint32_t i = 0; i < placement->count; i++)
		g_free(placement->places[i].owner);
	g_free(placement->places);
	g_free(placement->loads);
	g_free(placement);
}

uint32_t placement_bound(uint32_t keys, uint32_t alive)
{
	uint64_t shares = (uint64_t)keys * (100 + SLACK_PERCENT);

	alive = MAX(alive, 1);
	return (uint32_t)((shares + 100ULL * alive - 1) / (100ULL * alive));
}

/* While some member reaches the store, those that do not get nothing. */
static bool is_usable(const placement_t *placement, const member_t *member)
{
	return member->state == MEMBER_ALIVE &&
	       !(member->no_store && placement->any_store);
}

static uint32_t count_usable(placement_t *placement)
{
	const GPtrArray *all = member_all(placement->members);
	uint32_t alive = member_count(placement->members, MEMBER_ALIVE);
	uint32_t reaching = 0;

	for (guint i = 0; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		reaching += member->state == MEMBER_ALIVE && !member->no_store;
	}
	placement->any_store = reaching > 0;
	return reaching > 0 ? reaching : alive;
}

/* The usable member with the highest weight and a load below the bound, other
 * than the one at index without and outside of without_domain (NULL: any). */
static int32_t best_member(const placement_t *placement, uint64_t key_hash,
			   uint32_t bound, int32_t without,
			   const char *without_domain)
{
	const GPtrArray *all = member_all(placement->members);
	uint64_t best_weight = 0;
	int32_t best = NOBODY;

	for (guint i = 0; i < all->len; i++) {
		const member_t *member = all->pdata[i];
		uint64_t weight = ring_weight_of(member->hash, key_hash);

		if (!is_usable(placement, member) || (int32_t)i == without ||
		    placement->loads[i] >= bound ||
		    (best >= 0 && weight <= best_weight) ||
		    (without_domain &&
		     strcmp(member->domain, without_domain) == 0))
			continue;
		best = (int32_t)i;
		best_weight = weight;
	}
	return best;
}

static void place(placement_t *placement, place_t *place, uint32_t bound)
{
	const GPtrArray *all = member_all(placement->members);
	uint64_t key = place->key_hash;
	int32_t best = best_member(placement, key, bound, NOBODY, NULL);
	const member_t *owner;

	g_clear_pointer(&place->owner, g_free);
	place->own = false;
	place->standby = false;
	if (best < 0)
		return;
	owner = all->pdata[best];
	place->owner = g_strdup(owner->address);
	/* The node itself is the table's first member. */
	place->own = best == 0;
	if (!place->own)
		place->standby =
			best_member(placement, key, bound, best, NULL) == 0 ||
			best_member(placement, key, bound, best,
				    owner->domain) == 0;
	placement->loads[best]++;
}

void placement_update(placement_t *placement)
{
	guint members = member_all(placement->members)->len;
	uint32_t bound =
		placement_bound(placement->count, count_usable(placement));

	g_free(placement->loads);
	placement->loads = g_new0(uint32_t, members);
	for (uint32_t i = 0; i < placement->count; i++)
		place(placement, &placement->places[i], bound);
}

const char *placement_owner(const placement_t *placement, uint32_t number)
{
	return placement->places[number].owner;
}

bool placement_is_own(const placement_t *placement, uint32_t number)
{
	return placement->places[number].own;
}

bool placement_is_standby(const placement_t *placement, uint32_t number)
{
	return placement->places[number].standby;
}
