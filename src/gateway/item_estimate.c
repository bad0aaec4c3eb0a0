#include "gateway/item_estimate.h"

/* Until the first item has finished: about what one takes on an idle runner of
 * the users' deployments. */
#define DEFAULT_ITEM_MS 5000
/* Weight of the newest item; some ten items decide. */
#define WEIGHT 0.2
/* Part of the whole time that even an item at its usual end may still need. */
#define LEAST_SHARE 0.1

void item_estimate_add(item_estimate_t *estimate, int64_t elapsed_ms,
		       int64_t events)
{
	double weight = estimate->item_ms > 0 ? WEIGHT : 1;

	estimate->item_ms += weight * ((double)elapsed_ms - estimate->item_ms);
	estimate->item_events +=
		weight * ((double)events - estimate->item_events);
}

int64_t item_estimate_needed_ms(const item_estimate_t *estimate, int64_t events)
{
	double left = 1;

	if (estimate->item_ms <= 0)
		return DEFAULT_ITEM_MS;
	if (estimate->item_events > 0)
		left -= (double)events / estimate->item_events;
	if (left < LEAST_SHARE)
		left = LEAST_SHARE;
	return (int64_t)(estimate->item_ms * left);
}
