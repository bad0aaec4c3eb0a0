#ifndef WASABILINK_BATCH_SLOT_H
#define WASABILINK_BATCH_SLOT_H

#include <glib.h>
#include <stdint.h>

/*
 * slot - number of batch streams that a runner may currently have.
 *
 * Under SLOT_LEARNED it is the capacity minus the online requests in flight and
 * a reserve. The capacity starts at the slots that the engine reports and
 * shrinks while tokens arrive slower than on the unloaded engine, because a
 * report can be wrong or stale. The number decreases at once and increases in
 * steps. The other policies are baselines for comparison.
 */
typedef enum slot_policy {
	SLOT_OFF,
	SLOT_LEARNED,
	SLOT_FIXED, /* a fixed number, independent of the online load */
	SLOT_UNLIMITED
} slot_policy_t;

/* Upper bound for one runner under SLOT_UNLIMITED. */
#define SLOT_UNLIMITED_STREAMS 64

typedef struct slot_options {
	slot_policy_t policy;
	uint32_t fixed;
	uint32_t reserve;
} slot_options_t;

typedef struct slot {
	uint32_t reported; /* 0: no report yet */
	double capacity;
	double interval_us; /* smoothed time between tokens */
	double base_interval_us; /* on the unloaded engine */
	uint32_t allowed;
	int64_t next_grow_ms; /* time of the next increase */
	int64_t next_capacity_ms; /* time of the next change of capacity */
} slot_t;

void slot_init(slot_t *slot);
/* Sets the slots that the engine reports. */
void slot_report(slot_t *slot, uint32_t slots);
/* Records the time between two tokens of one batch stream. */
void slot_observe(slot_t *slot, int64_t interval_us, int64_t now_ms);
uint32_t slot_allowed(slot_t *slot, const slot_options_t *options,
		      uint32_t online, int64_t now_ms);

/* Returns FALSE for any other name than off, learned, fixed or unlimited. */
gboolean slot_parse_policy(const char *name, slot_policy_t *policy);

#endif
