#include "gateway/batch_rule.h"

/* Part of all places that stays free, so that batch work that just gave way
 * does not start again at the next place that online load takes. */
#define FREE_SHARE 0.05
/* About the time that one item takes; later starts would miss the due time. */
#define URGENT_MS 7000
#define YIELD_PAUSE_LEAST_MS 150
#define YIELD_PAUSE_SPREAD_MS 300

static bool is_urgent(const batch_input_t *input)
{
	return input->due_us - input->now_us < URGENT_MS * 1000LL;
}

bool batch_may_start(const batch_input_t *input)
{
	return is_urgent(input) ||
	       input->free_places > (int32_t)(input->places * FREE_SHARE);
}

uint32_t batch_share(int32_t free_places, uint32_t own_waiting,
		     uint32_t peers_waiting, double draw)
{
	double share;

	if (free_places <= 0 || own_waiting == 0)
		return 0;
	share = (double)free_places * own_waiting /
		(own_waiting + peers_waiting);
	return (uint32_t)share + (draw < share - (uint32_t)share ? 1 : 0);
}

int32_t batch_yield_pause_ms(GRand *random)
{
	return YIELD_PAUSE_LEAST_MS +
	       g_rand_int_range(random, 0, YIELD_PAUSE_SPREAD_MS);
}
