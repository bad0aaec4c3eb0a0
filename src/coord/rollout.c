#include "coord/rollout.h"

#include <glib.h>

/* A runner that refused a version is asked again after this time. */
#define REFUSAL_MS 1000
/* A change that takes longer no longer keeps the previous version in use. */
#define MAX_CHANGE_MS (30 * 60 * 1000)
/*
 * With two runners gone from the previous version, the first of them serves
 * the new one: the serving minimum lets the second begin only then.
 */
#define MOVED_RUNNERS 2

typedef struct refusal {
	const char *version;
	int64_t at_ms;
} refusal_t;

struct rollout {
	const clock_source_t *clock;
	GHashTable *refusals; /* address -> refusal_t, the latest one */
	GHashTable *moved; /* set of addresses that refused the previous one */
	const char *current; /* interned */
	const char *previous; /* interned; NULL when no change is under way */
	int64_t changed_ms;
};

rollout_t *rollout_new(const clock_source_t *clock)
{
	rollout_t *rollout = g_new0(rollout_t, 1);

	rollout->clock = clock;
	rollout->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rollout->moved =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return rollout;
}

void rollout_free(rollout_t *rollout)
{
	if (!rollout)
		return;
	g_hash_table_destroy(rollout->refusals);
	g_hash_table_destroy(rollout->moved);
	g_free(rollout);
}

const char *rollout_version(rollout_t *rollout, const char *configured,
			    uint32_t runners)
{
	const char *version = g_intern_string(configured);
	int64_t now = clock_now_ms(rollout->clock);

	if (version != rollout->current) {
		rollout->previous = rollout->current;
		rollout->current = version;
		rollout->changed_ms = now;
		g_hash_table_remove_all(rollout->moved);
	}
	if (g_hash_table_size(rollout->moved) >= MIN(MOVED_RUNNERS, runners) ||
	    now - rollout->changed_ms > MAX_CHANGE_MS)
		rollout->previous = NULL;
	return rollout->previous ? rollout->previous : rollout->current;
}

void rollout_refused(rollout_t *rollout, const char *address,
		     const char *version)
{
	refusal_t *refusal = g_new0(refusal_t, 1);

	refusal->version = g_intern_string(version);
	refusal->at_ms = clock_now_ms(rollout->clock);
	g_hash_table_replace(rollout->refusals, g_strdup(address), refusal);
	if (refusal->version == rollout->previous)
		g_hash_table_add(rollout->moved, g_strdup(address));
}

void rollout_served(rollout_t *rollout, const char *address,
		    const char *version)
{
	g_hash_table_remove(rollout->refusals, address);
	/* It may have been told to go back. */
	if (g_intern_string(version) == rollout->previous)
		g_hash_table_remove(rollout->moved, address);
}

bool rollout_lacks(const rollout_t *rollout, const char *address,
		   const char *version)
{
	const refusal_t *refusal =
		g_hash_table_lookup(rollout->refusals, address);

	return refusal && refusal->version == g_intern_string(version) &&
	       clock_now_ms(rollout->clock) - refusal->at_ms < REFUSAL_MS;
}
