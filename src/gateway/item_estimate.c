#include "gateway/item_estimate.h"

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
