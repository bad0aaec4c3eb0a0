#include "batch/slot.h"

#include <string.h>

/* Assumed until the engine reports its slots. */
#define UNKNOWN_SLOTS 1
/* Idle capacity lasts only seconds, so steps are short. */
#define GROW_MS 20
#define JUDGE_MS 500
#define SMOOTHING 0.05
/* Tokens this much slower than on the unloaded engine mean overload. */
#define SLOW_FACTOR 1.5
#define SHRINK 0.9
/* Share of the reported slots that comes back at each judgement. */
#define RECOVER 0.05

void slot_init(slot_t *slot)
{
	memset(slot, 0, sizeof(*slot));
	slot->capacity = UNKNOWN_SLOTS;
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
	slot->interval_us += (interval - slot->interval_us) * SMOOTHING;
	if (slot->base_interval_us <= 0 ||
	    slot->interval_us < slot->base_interval_us)
		slot->base_interval_us = slot->interval_us;
	if (now_ms < slot->judge_ms || slot->reported == 0)
		return;
	slot->judge_ms = now_ms + JUDGE_MS;
	if (slot->interval_us > slot->base_interval_us * SLOW_FACTOR)
		slot->capacity = MAX(slot->capacity * SHRINK, 1);
	else
		slot->capacity = MIN(slot->capacity + slot->reported * RECOVER,
				     slot->reported);
}

static uint32_t target(const slot_t *slot, const slot_options_t *options,
		       uint32_t online)
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
	uint32_t wanted = target(slot, options, online);

	if (wanted <= slot->allowed) {
		if (wanted < slot->allowed)
			slot->grow_ms = now_ms + GROW_MS;
		slot->allowed = wanted;
	} else if (now_ms >= slot->grow_ms) {
		slot->allowed += (wanted - slot->allowed + 1) / 2;
		slot->grow_ms = now_ms + GROW_MS;
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
