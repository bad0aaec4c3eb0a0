#ifndef WASABILINK_BATCH_SLOT_H
#define WASABILINK_BATCH_SLOT_H

#include <glib.h>
#include <stdint.h>

/*
 * slot - how many batch streams a runner may have now.
 *
 * Under SLOT_LEARNED that is the capacity less the online requests in flight,
 * less a reserve. The capacity starts at what the engine reports and shrinks
 * while tokens come slower than on the unloaded engine, because a report can
 * be wrong or late. The number falls at once and grows by steps. The other
 * policies exist to measure against.
 */
typedef enum slot_policy {
	SLOT_OFF,
	SLOT_LEARNED,
	SLOT_FIXED, /* a fixed number, whatever the online load */
	SLOT_UNLIMITED
} slot_policy_t;

/* Bounds what one runner gets under SLOT_UNLIMITED. */
#define SLOT_UNLIMITED_STREAMS 64

typedef struct slot_options {
	slot_policy_t policy;
	uint32_t fixed;
	uint32_t reserve;
} slot_options_t;

typedef struct slot {
	uint32_t reported; /* 0: not known yet */
	double capacity;
	double interval_us; /* smoothed time between tokens */
	double base_interval_us; /* of the unloaded engine */
	uint32_t allowed;
	int64_t grow_ms; /* time of the next step up */
	int64_t judge_ms; /* time of the next change of capacity */
} slot_t;

void slot_init(slot_t *slot);
/* The engine's own figure. */
void slot_report(slot_t *slot, uint32_t slots);
/* Time between two tokens of one batch stream. */
void slot_observe(slot_t *slot, int64_t interval_us, int64_t now_ms);
uint32_t slot_allowed(slot_t *slot, const slot_options_t *options,
		      uint32_t online, int64_t now_ms);

/* Returns FALSE for any other name than off, learned, fixed or unlimited. */
gboolean slot_parse_policy(const char *name, slot_policy_t *policy);

#endif
