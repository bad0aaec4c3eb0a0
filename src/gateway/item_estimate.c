#include "gateway/item_estimate.h"

#include <glib.h>
#include <inttypes.h>

#include "base/log.h"

/* Used until the first item has finished: about the time that an item takes on
 * an idle runner of the users' deployments. */
#define DEFAULT_ITEM_MS 5000
/* Weight of the newest item; about the last ten items determine the average. */
#define NEWEST_WEIGHT 0.2
/* Least share of the average time that an item is assumed to need still, even
 * if it has delivered the average number of events. */
#define MIN_REMAINING_SHARE 0.1

void item_estimate_add(item_estimate_t *estimate, int64_t elapsed_ms,
		       int64_t events)
{
	double weight = estimate->item_ms > 0 ? NEWEST_WEIGHT : 1;

	estimate->item_ms += weight * ((double)elapsed_ms - estimate->item_ms);
	estimate->item_events +=
		weight * ((double)events - estimate->item_events);
}

int64_t item_estimate_needed_ms(const item_estimate_t *estimate, int64_t events)
{
	double remaining = 1;

	if (estimate->item_ms <= 0)
		return DEFAULT_ITEM_MS;
	if (estimate->item_events > 0)
		remaining -= (double)events / estimate->item_events;
	if (remaining < MIN_REMAINING_SHARE)
		remaining = MIN_REMAINING_SHARE;
	return (int64_t)(estimate->item_ms * remaining);
}

typedef struct service_estimate {
	uint64_t service;
	uint64_t last_use; /* count of uses at that time */
	item_estimate_t estimate;
} service_estimate_t;

struct item_estimates {
	service_estimate_t entries[ITEM_ESTIMATES_MAX];
	uint32_t count;
	uint64_t uses;
};

item_estimates_t *item_estimates_new(void)
{
	return g_new0(item_estimates_t, 1);
}

void item_estimates_free(item_estimates_t *estimates)
{
	g_free(estimates);
}

static service_estimate_t *add_entry(item_estimates_t *estimates,
				     uint64_t service)
{
	service_estimate_t *entry = &estimates->entries[0];

	if (estimates->count < ITEM_ESTIMATES_MAX) {
		entry = &estimates->entries[estimates->count++];
	} else {
		for (uint32_t i = 1; i < estimates->count; i++)
			if (estimates->entries[i].last_use < entry->last_use)
				entry = &estimates->entries[i];
		log_info("estimate_removed", "service=%" PRIx64 " item_ms=%.0f",
			 entry->service, entry->estimate.item_ms);
	}
	*entry = (service_estimate_t){ .service = service };
	return entry;
}

item_estimate_t *item_estimates_get(item_estimates_t *estimates,
				    uint64_t service)
{
	service_estimate_t *entry = NULL;

	for (uint32_t i = 0; i < estimates->count && !entry; i++)
		if (estimates->entries[i].service == service)
			entry = &estimates->entries[i];
	if (!entry)
		entry = add_entry(estimates, service);
	entry->last_use = ++estimates->uses;
	return &entry->estimate;
}

uint32_t item_estimates_count(const item_estimates_t *estimates)
{
	return estimates->count;
}
