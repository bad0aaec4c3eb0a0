#include "coord/placement.h"

#include <string.h>

#include "coord/rendezvous.h"

/* Keys a member may have beyond an equal share, in percent. Without slack the
 * loss of a member would move many more keys than it had. */
#define SLACK_PERCENT 25
#define NO_MEMBER (-1)

typedef struct assignment {
	uint64_t key_hash;
	char *owner;
	bool own;
	bool standby;
} assignment_t;

struct placement {
	const member_table_t *members;
	assignment_t *assignments;
	uint32_t count;
	uint32_t *loads; /* by index in the member table */
	bool store_reachable; /* whether any alive member reaches the store */
};

placement_t *placement_new(const member_table_t *members, const char *prefix,
			   uint32_t count)
{
	placement_t *placement = g_new0(placement_t, 1);

	placement->members = members;
	placement->count = count;
	placement->assignments = g_new0(assignment_t, count);
	for (uint32_t i = 0; i < count; i++) {
		char *key = g_strdup_printf("%s%u", prefix, i);

		placement->assignments[i].key_hash = rendezvous_key_hash(key);
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
		g_free(placement->assignments[i].owner);
	g_free(placement->assignments);
	g_free(placement->loads);
	g_free(placement);
}

uint32_t placement_bound(uint32_t keys, uint32_t alive)
{
	uint64_t shares = (uint64_t)keys * (100 + SLACK_PERCENT);

	alive = MAX(alive, 1);
	return (uint32_t)((shares + 100ULL * alive - 1) / (100ULL * alive));
}

/* While any member reaches the store, members that do not reach it get no
 * keys. */
static bool is_usable(const placement_t *placement, const member_t *member)
{
	return member->state == MEMBER_ALIVE &&
	       !(member->store_unreachable && placement->store_reachable);
}

static uint32_t count_usable(placement_t *placement)
{
	const GPtrArray *all = member_all(placement->members);
	uint32_t alive = member_count(placement->members, MEMBER_ALIVE);
	uint32_t reaching_store = 0;

	for (guint i = 0; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		reaching_store += member->state == MEMBER_ALIVE &&
				  !member->store_unreachable;
	}
	placement->store_reachable = reaching_store > 0;
	return reaching_store > 0 ? reaching_store : alive;
}

/* Returns the index of the usable member with the highest weight and a load
 * below the bound, except the member at index excluded and the members of
 * excluded_domain (NULL: none). */
static int32_t best_member(const placement_t *placement, uint64_t key_hash,
			   uint32_t bound, int32_t excluded,
			   const char *excluded_domain)
{
	const GPtrArray *all = member_all(placement->members);
	uint64_t best_weight = 0;
	int32_t best = NO_MEMBER;

	for (guint i = 0; i < all->len; i++) {
		const member_t *member = all->pdata[i];
		uint64_t weight = rendezvous_weight_of(member->hash, key_hash);

		if (!is_usable(placement, member) || (int32_t)i == excluded ||
		    placement->loads[i] >= bound ||
		    (best >= 0 && weight <= best_weight) ||
		    (excluded_domain &&
		     strcmp(member->domain, excluded_domain) == 0))
			continue;
		best = (int32_t)i;
		best_weight = weight;
	}
	return best;
}

static void assign_key(placement_t *placement, assignment_t *assignment,
		       uint32_t bound)
{
	const GPtrArray *all = member_all(placement->members);
	uint64_t key = assignment->key_hash;
	int32_t best = best_member(placement, key, bound, NO_MEMBER, NULL);
	const member_t *owner;

	g_clear_pointer(&assignment->owner, g_free);
	assignment->own = false;
	assignment->standby = false;
	if (best < 0)
		return;
	owner = all->pdata[best];
	assignment->owner = g_strdup(owner->address);
	/* The first member of the table is the node itself. */
	assignment->own = best == 0;
	if (!assignment->own)
		assignment->standby =
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
		assign_key(placement, &placement->assignments[i], bound);
}

const char *placement_owner(const placement_t *placement, uint32_t number)
{
	return placement->assignments[number].owner;
}

bool placement_is_own(const placement_t *placement, uint32_t number)
{
	return placement->assignments[number].own;
}

bool placement_is_standby(const placement_t *placement, uint32_t number)
{
	return placement->assignments[number].standby;
}
