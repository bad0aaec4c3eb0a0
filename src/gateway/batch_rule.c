#include "gateway/batch_rule.h"

/* Share of all slots that stays free, so that a batch item that was just
 * preempted does not start in the next slot that online load will need. */
#define RESERVE_SHARE 0.05
/* Width of an urgency class. All classes together span some 20 s, the time in
 * which the users' specifications require jobs to be done. */
#define URGENCY_CLASS_MS 2500
/* Number of the most urgent classes, whose items may use the reserve. */
#define URGENT_CLASSES 3
/* Share of a remote domain's slots that stays free: its nodes learn late of
 * items that this domain starts there, and this domain learns late of the
 * online load there. */
#define REMOTE_RESERVE_SHARE 0.15
/* Least difference in waiting items per slot for which a job moves to another
 * domain: the move costs three store calls and leaves the job without an owner
 * for about a second. */
#define JOB_MOVE_MARGIN 0.2
#define PREEMPTION_BACKOFF_MIN_MS 150
#define PREEMPTION_BACKOFF_SPREAD_MS 300

uint32_t batch_urgency(int64_t remaining_ms, int64_t needed_ms)
{
	if (remaining_ms < needed_ms)
		return BATCH_INFEASIBLE;
	return (uint32_t)MIN(remaining_ms / URGENCY_CLASS_MS,
			     BATCH_INFEASIBLE - 1);
}

void batch_share(const batch_slots_t *slots, const batch_waiting_t *before,
		 const batch_waiting_t *own, const batch_waiting_t *after,
		 batch_starts_t *starts)
{
	uint32_t reserve = (uint32_t)(slots->total * RESERVE_SHARE);
	uint32_t used = 0;

	*starts = (batch_starts_t){ 0 };
	for (int i = 0; i < BATCH_URGENCIES; i++) {
		uint32_t limit = slots->free;
		uint32_t all =
			before->items[i] + own->items[i] + after->items[i];
		uint32_t taken;
		double per_item;
		uint32_t first;
		uint32_t end;

		if (i >= URGENT_CLASSES)
			limit = limit > reserve ? limit - reserve : 0;
		if (all == 0 || used >= limit)
			continue;
		taken = MIN(all, limit - used);
		per_item = (double)taken / all;
		first = (uint32_t)(before->items[i] * per_item + slots->phase);
		end = (uint32_t)((before->items[i] + own->items[i]) * per_item +
				 slots->phase);
		starts->items[i] = end - first;
		starts->first_slot[i] = used + first;
		used += taken;
	}
}

static uint32_t surplus_of(const batch_domain_t *domain)
{
	uint32_t reserved = domain->waiting +
			    (uint32_t)(domain->slots * REMOTE_RESERVE_SHARE);

	if (domain->local || domain->free_slots <= reserved)
		return 0;
	return domain->free_slots - reserved;
}

uint32_t batch_remote_share(const batch_domain_t *domains, guint count,
			    uint32_t own_without_slot, const double draws[2],
			    guint *domain)
{
	uint32_t without_slot = 0;
	uint32_t surplus = 0;
	uint32_t chosen;
	double share;

	for (guint i = 0; i < count; i++) {
		surplus += surplus_of(&domains[i]);
		if (domains[i].waiting > domains[i].free_slots)
			without_slot +=
				domains[i].waiting - domains[i].free_slots;
	}
	if (surplus == 0 || own_without_slot == 0)
		return 0;
	/* A random choice, so that the nodes of one domain do not all select
	 * the same remote domain. */
	chosen = (uint32_t)(draws[0] * surplus);
	for (*domain = 0; chosen >= surplus_of(&domains[*domain]); (*domain)++)
		chosen -= surplus_of(&domains[*domain]);
	share = (double)surplus_of(&domains[*domain]) * own_without_slot /
		MAX(without_slot, own_without_slot);
	share = MIN(share, own_without_slot);
	return (uint32_t)share + (draws[1] < share - (uint32_t)share ? 1 : 0);
}

/* Waiting items per slot. Infeasible items start last, so they do not delay
 * other items and do not count. */
static double backlog_of(const batch_domain_t *domain)
{
	return (double)(domain->waiting - domain->infeasible) /
	       MAX(domain->slots, 1);
}

guint batch_job_domain(const batch_domain_t *domains, guint count, double draw)
{
	guint local_index = count;
	guint least_loaded = count;
	double excess;

	for (guint i = 0; i < count; i++) {
		if (domains[i].local)
			local_index = i;
		if (domains[i].slots > 0 &&
		    (least_loaded == count ||
		     backlog_of(&domains[i]) <
			     backlog_of(&domains[least_loaded])))
			least_loaded = i;
	}
	if (least_loaded == count)
		return local_index < count ? local_index : 0;
	if (local_index == count || domains[local_index].slots == 0)
		return least_loaded;
	excess = backlog_of(&domains[local_index]) -
		 backlog_of(&domains[least_loaded]);
	if (excess < JOB_MOVE_MARGIN)
		return local_index;
	/* Jobs that are moving are not yet counted in the other domain, so only
	 * a share of the jobs moves. */
	return draw < excess / backlog_of(&domains[local_index]) ?
		       least_loaded :
		       local_index;
}

int32_t batch_preemption_backoff_ms(GRand *random)
{
	return PREEMPTION_BACKOFF_MIN_MS +
	       g_rand_int_range(random, 0, PREEMPTION_BACKOFF_SPREAD_MS);
}
