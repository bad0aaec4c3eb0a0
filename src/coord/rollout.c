#include "coord/rollout.h"

#include <glib.h>

/* Time after which a runner that refused a version is asked for it again. */
#define REFUSAL_RETENTION_MS 1000
/* A rollout that takes longer stops using the previous version. */
#define MAX_ROLLOUT_MS (30 * 60 * 1000)
/*
 * When two runners have left the previous version, the first of them serves the
 * new one: the serving minimum lets the second switch only then.
 */
#define SWITCHED_RUNNERS 2

typedef struct refusal {
	const char *version;
	int64_t refused_ms;
} refusal_t;

struct rollout {
	const clock_source_t *clock;
	GHashTable *refusals; /* address -> refusal_t, the latest one */
	GHashTable *switched; /* addresses that refused the previous version */
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
	rollout->switched =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return rollout;
}

void rollout_free(rollout_t *rollout)
{
	if (!rollout)
		return;
	g_hash_table_destroy(rollout->refusals);
	g_hash_table_destroy(rollout->switched);
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
		g_hash_table_remove_all(rollout->switched);
	}
	if (g_hash_table_size(rollout->switched) >=
		    MIN(SWITCHED_RUNNERS, runners) ||
	    now - rollout->changed_ms > MAX_ROLLOUT_MS)
		rollout->previous = NULL;
	return rollout->previous ? rollout->previous : rollout->current;
}

void rollout_refused(rollout_t *rollout, const char *address,
		     const char *version)
{
	refusal_t *refusal = g_new0(refusal_t, 1);

	refusal->version = g_intern_string(version);
	refusal->refused_ms = clock_now_ms(rollout->clock);
	g_hash_table_replace(rollout->refusals, g_strdup(address), refusal);
	if (refusal->version == rollout->previous)
		g_hash_table_add(rollout->switched, g_strdup(address));
}

void rollout_served(rollout_t *rollout, const char *address,
		    const char *version)
{
	g_hash_table_remove(rollout->refusals, address);
	/* The runner may have been ordered back to the previous version. */
	if (g_intern_string(version) == rollout->previous)
		g_hash_table_remove(rollout->switched, address);
}

bool rollout_recently_refused(const rollout_t *rollout, const char *address,
			      const char *version)
{
	const refusal_t *refusal =
		g_hash_table_lookup(rollout->refusals, address);

	return refusal && refusal->version == g_intern_string(version) &&
	       clock_now_ms(rollout->clock) - refusal->refused_ms <
		       REFUSAL_RETENTION_MS;
}
