#include "entry/records_place.h"

#include <string.h>

place_t *records_place_of(const records_t *records, const void *key)
{
	const uint8_t *b = (const uint8_t *)key + 12;
	uint32_t hash = (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
			(uint32_t)b[2] << 8 | b[3];

	return &records->places[hash % records->shard_count];
}

static bool is_dead(const records_t *records, const char *address)
{
	const member_t *member = member_find(records->options.members, address);

	return member && member->state == MEMBER_DEAD;
}

void records_place_set_hint(place_t *place, const char *hint)
{
	const char *own = records_state_own_address(place->records);

	g_free(place->hint);
	place->hint =
		hint && *hint && strcmp(hint, own) != 0 ? g_strdup(hint) : NULL;
}

void records_place_set_failed(place_t *place, const char *address)
{
	g_free(place->failed);
	place->failed = g_strdup(address);
}

static bool records_place_usable(const records_t *records, const char *address)
{
	return address &&
	       strcmp(address, records_state_own_address(records)) != 0 &&
	       !is_dead(records, address);
}

/*
 * An owner that is cut off from the store does not learn of its successor.
 * Without a lease, and when it is not to own the shard, it counts as replaced.
 */
static bool is_replaced(const place_t *place)
{
	return !place->candidate && !shard_has_lease(place->shard);
}

const char *records_place_target(const place_t *place)
{
	const records_t *records = place->records;
	const char *owner = shard_owner(place->shard);
	const char *candidate;

	if (shard_is_owner(place->shard)) {
		candidate =
			is_replaced(place) ?
				placement_owner(records->placement,
						shard_number(place->shard)) :
				NULL;
		return records_place_usable(records, candidate) ? candidate :
								  NULL;
	}
	if (records_place_usable(records, place->hint))
		return place->hint;
	if (!records_place_usable(records, owner))
		owner = NULL;
	/* An owner that is cut off from the store lives on as a member, and
	 * does not know its successor. */
	if (owner && g_strcmp0(owner, place->failed) != 0)
		return owner;
	candidate =
		placement_owner(records->placement, shard_number(place->shard));
	return records_place_usable(records, candidate) ? candidate : owner;
}

bool records_place_serves(const place_t *place)
{
	if (shard_is_owner(place->shard))
		return !is_replaced(place);
	return place->candidate &&
	       !records_place_usable(place->records, shard_owner(place->shard));
}
