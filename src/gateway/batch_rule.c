#include "gateway/batch_rule.h"

/* Part of all places that stays free, so that batch work that just gave way
 * does not start again at the next place that online load takes. */
#define FREE_SHARE 0.05
/* Width of a class of urgency, so that all classes span some 20 s, the time
 * that jobs are given on the users' sheets. */
#define URGENCY_MS 2500
/* These may take the last places. */
#define URGENT_CLASSES 3
/* Part of another domain's places that stays free: its nodes hear late of the
 * items there, and these of its online load. */
#define FAR_RESERVE_SHARE 0.15
/* A job moves for this difference of waiting items a place at least: it costs
 * three calls to the store and about a second without an owner. */
#define JOB_MOVE_MARGIN 0.2
#define YIELD_PAUSE_LEAST_MS 150
#define YIELD_PAUSE_SPREAD_MS 300

uint32_t batch_urgency(int64_t left_ms, int64_t needed_ms)
{
	if (left_ms < needed_ms)
		return BATCH_HOPELESS;
	return (uint32_t)MIN(left_ms / URGENCY_MS, BATCH_HOPELESS - 1);
}

bool batch_may_start(const batch_input_t *input)
{
	return input->urgency < URGENT_CLASSES ||
	       input->free_places > (int32_t)(input->places * FREE_SHARE);
}

void batch_share(int32_t free_places, const batch_waiting_t *own,
		 const batch_waiting_t *peers, double draw,
		 batch_waiting_t *starts)
{
	uint32_t left = (uint32_t)MAX(free_places, 0);

	*starts = (batch_waiting_t){ 0 };
	for (int i = 0; i < BATCH_URGENCIES && left > 0; i++) {
		uint32_t all = own->items[i] + peers->items[i];
		double share;

		if (all <= left) {
			starts->items[i] = own->items[i];
			left -= all;
			continue;
		}
		share = (double)left * own->items[i] / all;
		starts->items[i] = (uint32_t)share +
				   (draw < share - (uint32_t)share ? 1 : 0);
		left = 0;
	}
}

static uint32_t surplus_of(const batch_domain_t *domain)
{
	uint32_t kept = domain->waiting +
			(uint32_t)(domain->places * FAR_RESERVE_SHARE);

	if (domain->near || domain->free_places <= kept)
		return 0;
	return domain->free_places - kept;
}

uint32_t batch_far_share(const batch_domain_t *domains, guint count,
			 uint32_t own_unplaced, const double draws[2],
			 guint *domain)
{
	uint32_t unplaced = 0;
	uint32_t surplus = 0;
	uint32_t chosen;
	double share;

	for (guint i = 0; i < count; i++) {
		surplus += surplus_of(&domains[i]);
		if (domains[i].waiting > domains[i].free_places)
			unplaced += domains[i].waiting - domains[i].free_places;
	}
	if (surplus == 0 || own_unplaced == 0)
		return 0;
	/* Nodes of one domain do not all turn to the same other one. */
	chosen = (uint32_t)(draws[0] * surplus);
	for (*domain = 0; chosen >= surplus_of(&domains[*domain]); (*domain)++)
		chosen -= surplus_of(&domains[*domain]);
	share = (double)surplus_of(&domains[*domain]) * own_unplaced /
		MAX(unplaced, own_unplaced);
	share = MIN(share, own_unplaced);
	return (uint32_t)share + (draws[1] < share - (uint32_t)share ? 1 : 0);
}

/* Items that cannot be done in time go last and are in nobody's way. */
static double backlog_of(const batch_domain_t *domain)
{
	return (double)(domain->waiting - domain->hopeless) /
	       MAX(domain->places, 1);
}

guint batch_job_domain(const batch_domain_t *domains, guint count, double draw)
{
	guint near = count;
	guint least = count;
	double excess;

	for (guint i = 0; i < count; i++) {
		if (domains[i].near)
			near = i;
		if (domains[i].places > 0 &&
		    (least == count ||
		     backlog_of(&domains[i]) < backlog_of(&domains[least])))
			least = i;
	}
	if (least == count)
		return near < count ? near : 0;
	if (near == count || domains[near].places == 0)
		return least;
	excess = backlog_of(&domains[near]) - backlog_of(&domains[least]);
	if (excess < JOB_MOVE_MARGIN)
		return near;
	/* Jobs that move do not count there yet, so not all of them move. */
	return draw < excess / backlog_of(&domains[near]) ? least : near;
}

int32_t batch_yield_pause_ms(GRand *random)
{
	return YIELD_PAUSE_LEAST_MS +
	       g_rand_int_range(random, 0, YIELD_PAUSE_SPREAD_MS);
}
