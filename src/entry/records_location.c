#include "entry/records_location.h"

#include <string.h>

location_t *records_location_of(const records_t *records, const void *key)
{
	const uint8_t *b = (const uint8_t *)key + 12;
	uint32_t hash = (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
			(uint32_t)b[2] << 8 | b[3];

	return &records->locations[hash % records->shard_count];
}

static bool is_dead(const records_t *records, const char *address)
{
	const member_t *member = member_find(records->options.members, address);

	return member && member->state == MEMBER_DEAD;
}

void records_location_set_hint(location_t *location, const char *hint)
{
	const char *own = records_state_own_address(location->records);

	g_free(location->hint);
	location->hint =
		hint && *hint && strcmp(hint, own) != 0 ? g_strdup(hint) : NULL;
}

void records_location_set_failed(location_t *location, const char *address)
{
	g_free(location->failed_peer);
	location->failed_peer = g_strdup(address);
}

static bool is_usable(const records_t *records, const char *address)
{
	return address &&
	       strcmp(address, records_state_own_address(records)) != 0 &&
	       !is_dead(records, address);
}

/*
 * An owner that cannot reach the store does not learn that another node took
 * over its shard. It is treated as replaced when its lease has expired and the
 * placement assigns the shard to another node.
 */
static bool is_replaced(const location_t *location)
{
	return !location->candidate && !shard_has_lease(location->shard);
}

const char *records_location_target(const location_t *location)
{
	const records_t *records = location->records;
	const char *owner = shard_owner(location->shard);
	const char *candidate;

	if (shard_is_owner(location->shard)) {
		candidate =
			is_replaced(location) ?
				placement_owner(records->placement,
						shard_number(location->shard)) :
				NULL;
		return is_usable(records, candidate) ? candidate : NULL;
	}
	if (is_usable(records, location->hint))
		return location->hint;
	if (!is_usable(records, owner))
		owner = NULL;
	/* An owner that cannot reach the store stays an alive member and does
	 * not know its successor, so skip it after a failed attempt. */
	if (owner && g_strcmp0(owner, location->failed_peer) != 0)
		return owner;
	candidate = placement_owner(records->placement,
				    shard_number(location->shard));
	return is_usable(records, candidate) ? candidate : owner;
}

bool records_location_accepts(const location_t *location)
{
	if (shard_is_owner(location->shard))
		return !is_replaced(location);
	return location->candidate &&
	       !is_usable(location->records, shard_owner(location->shard));
}
