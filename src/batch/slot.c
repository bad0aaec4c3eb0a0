#include "batch/slot.h"

#include <string.h>

/* Capacity until the engine reports its slots. */
#define INITIAL_SLOTS 1
/* Idle capacity lasts only seconds, so the interval is short. */
#define GROW_INTERVAL_MS 20
#define CAPACITY_INTERVAL_MS 500
#define INTERVAL_SMOOTHING 0.05
/* An interval longer than on the unloaded engine by this factor means
 * overload. */
#define SLOW_INTERVAL_FACTOR 1.5
#define CAPACITY_SHRINK_FACTOR 0.9
/* Share of the reported slots that is restored at each capacity update. */
#define CAPACITY_RECOVERY_SHARE 0.05

void slot_init(slot_t *slot)
{
	memset(slot, 0, sizeof(*slot));
	slot->capacity = INITIAL_SLOTS;
}

void slot_report(slot_t *slot, uint32_t slots)
{
	if (slots == slot->reported || slots == 0)
		return;
	if (slot->reported == 0 || slots < slot->capacity)
		slot->capacity = slots;
	slot->reported = slots;
}

void slot_observe(slot_t *slot, int64_t interval_us, int64_t now_ms)
{
	double interval = (double)interval_us;

	if (slot->interval_us <= 0)
		slot->interval_us = interval;
	slot->interval_us +=
		(interval - slot->interval_us) * INTERVAL_SMOOTHING;
	if (slot->base_interval_us <= 0 ||
	    slot->interval_us < slot->base_interval_us)
		slot->base_interval_us = slot->interval_us;
	if (now_ms < slot->next_capacity_ms || slot->reported == 0)
		return;
	slot->next_capacity_ms = now_ms + CAPACITY_INTERVAL_MS;
	if (slot->interval_us > slot->base_interval_us * SLOW_INTERVAL_FACTOR)
		slot->capacity =
			MAX(slot->capacity * CAPACITY_SHRINK_FACTOR, 1);
	else
		slot->capacity =
			MIN(slot->capacity +
				    slot->reported * CAPACITY_RECOVERY_SHARE,
			    slot->reported);
}

static uint32_t target_streams(const slot_t *slot,
			       const slot_options_t *options, uint32_t online)
{
	uint32_t capacity = (uint32_t)slot->capacity;
	uint32_t taken = online + options->reserve;

	switch (options->policy) {
	case SLOT_OFF:
		return 0;
	case SLOT_FIXED:
		return options->fixed;
	case SLOT_UNLIMITED:
		return SLOT_UNLIMITED_STREAMS;
	case SLOT_LEARNED:
		break;
	}
	return capacity > taken ? capacity - taken : 0;
}

uint32_t slot_allowed(slot_t *slot, const slot_options_t *options,
		      uint32_t online, int64_t now_ms)
{
	uint32_t wanted = target_streams(slot, options, online);

	if (wanted <= slot->allowed) {
		if (wanted < slot->allowed)
			slot->next_grow_ms = now_ms + GROW_INTERVAL_MS;
		slot->allowed = wanted;
	} else if (now_ms >= slot->next_grow_ms) {
		slot->allowed += (wanted - slot->allowed + 1) / 2;
		slot->next_grow_ms = now_ms + GROW_INTERVAL_MS;
	}
	return slot->allowed;
}

gboolean slot_parse_policy(const char *name, slot_policy_t *policy)
{
	static const char *const names[] = { "off", "learned", "fixed",
					     "unlimited" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], name) == 0) {
			*policy = (slot_policy_t)i;
			return TRUE;
		}
	}
	return FALSE;
}
