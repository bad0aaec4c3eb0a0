#include "gateway/batch_rule.h"

/* One place at each runner takes the online requests that arrive before
 * batch work has given way. */
#define RESERVE 1
/* Part of all places that stays free for a step in the online load. */
#define FREE_SHARE 0.14
/* About the time that one item takes; later starts would miss the due time. */
#define URGENT_MS 7000
#define YIELD_PAUSE_LEAST_MS 150
#define YIELD_PAUSE_SPREAD_MS 300

static bool is_urgent(const batch_input_t *input)
{
	return input->due_us - input->now_us < URGENT_MS * 1000LL;
}

uint32_t batch_reserve(const batch_input_t *input)
{
	return is_urgent(input) ? 0 : RESERVE;
}

bool batch_may_start(const batch_input_t *input)
{
	return is_urgent(input) ||
	       input->free_places > (int32_t)(input->places * FREE_SHARE);
}

int32_t batch_yield_pause_ms(GRand *random)
{
	return YIELD_PAUSE_LEAST_MS +
	       g_rand_int_range(random, 0, YIELD_PAUSE_SPREAD_MS);
}
