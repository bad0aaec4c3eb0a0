#include "coord/admission.h"

#include <math.h>
#include <string.h>

#define LANES 8
/* Each lane spans a factor of four in estimated work. */
#define LANE_BITS 2
/* A request is long if its work is above this multiple of the mean. */
#define LONG_FACTOR 8
/* Share of the slots that long requests may use while short ones arrive. */
#define LONG_SHARE 0.75
#define SHORT_RECENT_US 1000000
/*
 * A queue that has not been empty for the maximum wait is a standing queue: it
 * adds delay and no throughput (Nichols and Jacobson, "Controlling queue
 * delay", 2012). While it stands, only this share of the maximum wait is
 * accepted.
 */
#define STANDING_WAIT_SHARE 0.25
/* Idle flows are removed when there are at least this many flows. */
#define MIN_SWEEP_FLOWS 64
#define MEAN_WORK_GAIN 0.02
#define SERVICE_GAIN 0.05

typedef struct admission_lane {
	GQueue queue;
	double start; /* virtual time */
	double work; /* queued */
} admission_lane_t;

struct admission_flow {
	admission_priority_t priority;
	char *workspace;
	double weight;
	double start; /* virtual time */
	double lane_time;
	int64_t last_used_us;
	uint32_t queued;
	admission_lane_t lanes[LANES];
};

typedef struct admission_class {
	GHashTable *flows; /* workspace -> admission_flow_t */
	guint sweep_flows;
	GPtrArray *backlogged; /* flows with queued tickets */
	double virtual_time;
	double work; /* queued */
} admission_class_t;

struct admission {
	admission_options_t options;
	admission_class_t classes[ADMISSION_PRIORITIES];
	uint32_t capacity;
	uint32_t running;
	uint32_t running_long;
	uint32_t queued;
	double mean_work_log2; /* mean of log2, robust to a few long ones */
	double us_per_work;
	int64_t last_short_us;
	int64_t last_empty_us; /* when the queue was last empty */
	int64_t next_expiry_us; /* no queued ticket expires before */
};

static void flow_free(void *data)
{
	admission_flow_t *flow = data;

	g_free(flow->workspace);
	g_free(flow);
}

admission_t *admission_new(const admission_options_t *options)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->options = *options;
	admission->capacity = 1;
	admission->next_expiry_us = INT64_MAX;
	admission->last_short_us = INT64_MIN / 2;
	for (int i = 0; i < ADMISSION_PRIORITIES; i++) {
		admission_class_t *class = &admission->classes[i];

		class->flows = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, flow_free);
		class->sweep_flows = MIN_SWEEP_FLOWS;
		class->backlogged = g_ptr_array_new();
	}
	return admission;
}

void admission_free(admission_t *admission)
{
	if (!admission)
		return;
	for (int i = 0; i < ADMISSION_PRIORITIES; i++) {
		g_ptr_array_free(admission->classes[i].backlogged, TRUE);
		g_hash_table_destroy(admission->classes[i].flows);
	}
	g_free(admission);
}

void admission_set_capacity(admission_t *admission, uint32_t capacity)
{
	admission->capacity = capacity;
}

uint32_t admission_running(const admission_t *admission)
{
	return admission->running;
}

uint32_t admission_flows(const admission_t *admission)
{
	uint32_t count = 0;

	for (int i = 0; i < ADMISSION_PRIORITIES; i++)
		count += g_hash_table_size(admission->classes[i].flows);
	return count;
}

uint32_t admission_queued(const admission_t *admission)
{
	return admission->queued;
}

static gboolean is_idle(void *key, void *value, void *user_data)
{
	const admission_flow_t *flow = value;
	const int64_t *before_us = user_data;

	return flow->queued == 0 && flow->last_used_us < *before_us;
}

/* Removes workspaces without a request for the maximum wait: the virtual time
 * they owe is less than the work of the last request. The threshold doubles
 * with the flows that remain, so a new flow costs constant time on average. */
static void sweep_flows(admission_t *admission, admission_class_t *class,
			int64_t now_us)
{
	int64_t before_us = now_us - admission->options.max_wait_us;

	if (g_hash_table_size(class->flows) < class->sweep_flows)
		return;
	g_hash_table_foreach_remove(class->flows, is_idle, &before_us);
	class->sweep_flows =
		MAX(MIN_SWEEP_FLOWS, 2 * g_hash_table_size(class->flows));
}

static admission_flow_t *find_flow(admission_t *admission,
				   admission_priority_t priority,
				   const char *workspace, double weight,
				   int64_t now_us)
{
	admission_class_t *class = &admission->classes[priority];
	admission_flow_t *flow = g_hash_table_lookup(class->flows, workspace);

	if (!flow) {
		sweep_flows(admission, class, now_us);
		flow = g_new0(admission_flow_t, 1);
		flow->priority = priority;
		flow->workspace = g_strdup(workspace);
		g_hash_table_insert(class->flows, flow->workspace, flow);
	}
	flow->last_used_us = now_us;
	flow->weight = weight > 0 ? weight : 1;
	return flow;
}

static uint32_t lane_of(uint32_t work)
{
	uint32_t log2_work = 31 - (uint32_t)__builtin_clz(work);

	return MIN(log2_work / LANE_BITS, LANES - 1);
}

static void classify(admission_t *admission, admission_ticket_t *ticket)
{
	double work_log2 = log2(ticket->work);
	bool first = admission->mean_work_log2 == 0;

	if (first)
		admission->mean_work_log2 = work_log2;
	ticket->is_long =
		work_log2 > admission->mean_work_log2 + log2(LONG_FACTOR);
	admission->mean_work_log2 +=
		MEAN_WORK_GAIN * (work_log2 - admission->mean_work_log2);
	if (!ticket->is_long)
		admission->last_short_us = ticket->arrived_us;
}

static bool is_long_capped(const admission_t *admission, int64_t now_us)
{
	double allowed = MAX(1, floor(admission->capacity * LONG_SHARE));

	return now_us - admission->last_short_us < SHORT_RECENT_US &&
	       admission->running_long >= allowed;
}

static void start_running(admission_t *admission, admission_ticket_t *ticket,
			  int64_t now_us)
{
	ticket->state = ADMISSION_RUNNING;
	ticket->started_us = now_us;
	admission->running++;
	if (ticket->is_long)
		admission->running_long++;
}

/* Estimates the work that runs before a new ticket under fair sharing, at most
 * all queued work. */
static double work_ahead(const admission_t *admission,
			 const admission_ticket_t *ticket,
			 const admission_flow_t *flow)
{
	const admission_class_t *class = &admission->classes[ticket->priority];
	double weights = flow->queued ? 0 : flow->weight;
	double lanes = flow->lanes[ticket->lane].queue.length ? 0 : 1;
	double all = class->work;
	double fair;

	for (guint i = 0; i < class->backlogged->len; i++)
		weights += ((admission_flow_t *)class->backlogged->pdata[i])
				   ->weight;
	for (uint32_t i = 0; i < LANES; i++)
		lanes += flow->lanes[i].queue.length > 0;
	fair = flow->lanes[ticket->lane].work * lanes * weights / flow->weight;
	if (ticket->priority == ADMISSION_BATCH)
		all += admission->classes[ADMISSION_ONLINE].work;
	return MIN(fair, all);
}

static int64_t estimate_wait_us(const admission_t *admission,
				const admission_ticket_t *ticket,
				const admission_flow_t *flow)
{
	return (int64_t)(work_ahead(admission, ticket, flow) *
			 admission->us_per_work / MAX(admission->capacity, 1));
}

static int64_t accepted_wait_us(const admission_t *admission, int64_t now_us)
{
	int64_t max_us = admission->options.max_wait_us;

	if (admission->queued > 0 && now_us - admission->last_empty_us > max_us)
		return (int64_t)((double)max_us * STANDING_WAIT_SHARE);
	return max_us;
}

static void enqueue(admission_t *admission, admission_ticket_t *ticket)
{
	admission_class_t *class = &admission->classes[ticket->priority];
	admission_flow_t *flow = ticket->flow;
	admission_lane_t *lane = &flow->lanes[ticket->lane];

	if (flow->queued++ == 0) {
		flow->start = MAX(flow->start, class->virtual_time);
		g_ptr_array_add(class->backlogged, flow);
	}
	if (lane->queue.length == 0)
		lane->start = MAX(lane->start, flow->lane_time);
	ticket->link = (GList){ .data = ticket };
	g_queue_push_tail_link(&lane->queue, &ticket->link);
	lane->work += ticket->work;
	class->work += ticket->work;
	admission->queued++;
	ticket->state = ADMISSION_QUEUED;
	admission->next_expiry_us =
		MIN(admission->next_expiry_us, ticket->expires_us);
}

static void dequeue(admission_t *admission, admission_ticket_t *ticket)
{
	admission_class_t *class = &admission->classes[ticket->priority];
	admission_flow_t *flow = ticket->flow;
	admission_lane_t *lane = &flow->lanes[ticket->lane];

	g_queue_unlink(&lane->queue, &ticket->link);
	lane->work -= ticket->work;
	class->work -= ticket->work;
	admission->queued--;
	if (--flow->queued == 0)
		g_ptr_array_remove_fast(class->backlogged, flow);
	ticket->state = ADMISSION_IDLE;
}

/* Evicts the newest ticket of the flow with the most queued tickets, so that
 * one workspace cannot fill the queue for all. Returns false when that flow has
 * no more tickets than this one will have. */
static bool evict_newest(admission_t *admission, const admission_flow_t *flow)
{
	const admission_class_t *class = &admission->classes[flow->priority];
	admission_flow_t *longest = NULL;
	admission_ticket_t *victim = NULL;

	for (guint i = 0; i < class->backlogged->len; i++) {
		admission_flow_t *other = class->backlogged->pdata[i];

		if (!longest || other->queued > longest->queued)
			longest = other;
	}
	if (!longest || longest->queued <= flow->queued + 1)
		return false;
	for (uint32_t i = 0; i < LANES; i++) {
		GList *tail = longest->lanes[i].queue.tail;
		admission_ticket_t *ticket = tail ? tail->data : NULL;

		if (ticket && ticket->expires_us != 0 &&
		    (!victim || ticket->arrived_us > victim->arrived_us))
			victim = ticket;
	}
	if (!victim)
		return false;
	victim->expires_us = 0;
	admission->next_expiry_us = 0;
	return true;
}

static bool has_free_slot(const admission_t *admission,
			  const admission_ticket_t *ticket, int64_t now_us)
{
	return admission->running < admission->capacity &&
	       !(ticket->is_long && is_long_capped(admission, now_us));
}

admission_state_t admission_offer(admission_t *admission,
				  admission_ticket_t *ticket,
				  const char *workspace, double weight,
				  int64_t *retry_after_ms)
{
	int64_t now_us = clock_now_us(admission->options.clock);
	int64_t wait_us;

	if (admission->queued == 0)
		admission->last_empty_us = now_us;
	ticket->work = MAX(ticket->work, 1);
	ticket->arrived_us = now_us;
	if (admission->options.first_come) {
		ticket->lane = 0;
		ticket->flow =
			find_flow(admission, ticket->priority, "", 1, now_us);
	} else {
		ticket->lane = lane_of(ticket->work);
		ticket->flow = find_flow(admission, ticket->priority, workspace,
					 weight, now_us);
		classify(admission, ticket);
	}
	if (admission->queued == 0 &&
	    has_free_slot(admission, ticket, now_us)) {
		start_running(admission, ticket, now_us);
		return ADMISSION_RUNNING;
	}
	ticket->expires_us = now_us + admission->options.max_wait_us;
	if (ticket->deadline_us > 0)
		ticket->expires_us =
			MIN(ticket->expires_us, ticket->deadline_us);
	wait_us = estimate_wait_us(admission, ticket, ticket->flow);
	if (wait_us > accepted_wait_us(admission, now_us) ||
	    now_us + wait_us > ticket->expires_us ||
	    (admission->queued >= admission->options.max_queue &&
	     !evict_newest(admission, ticket->flow))) {
		ticket->state = ADMISSION_REFUSED;
		*retry_after_ms = MAX(wait_us / 1000, 1);
		return ADMISSION_REFUSED;
	}
	enqueue(admission, ticket);
	return ADMISSION_QUEUED;
}

static void update_service_time(admission_t *admission,
				const admission_ticket_t *ticket)
{
	int64_t now_us = clock_now_us(admission->options.clock);
	double sample = (double)(now_us - ticket->started_us) / ticket->work;

	if (admission->us_per_work == 0)
		admission->us_per_work = sample;
	admission->us_per_work +=
		SERVICE_GAIN * (sample - admission->us_per_work);
}

void admission_release(admission_t *admission, admission_ticket_t *ticket)
{
	if (ticket->state == ADMISSION_QUEUED) {
		dequeue(admission, ticket);
	} else if (ticket->state == ADMISSION_RUNNING) {
		update_service_time(admission, ticket);
		admission->running--;
		if (ticket->is_long)
			admission->running_long--;
		ticket->state = ADMISSION_IDLE;
	}
}

static admission_lane_t *pick_lane(admission_flow_t *flow, bool skip_long)
{
	admission_lane_t *best = NULL;

	for (uint32_t i = 0; i < LANES; i++) {
		admission_lane_t *lane = &flow->lanes[i];
		const admission_ticket_t *head =
			lane->queue.head ? lane->queue.head->data : NULL;

		if (!head || (skip_long && head->is_long))
			continue;
		if (!best || lane->start < best->start)
			best = lane;
	}
	return best;
}

static admission_ticket_t *pick(admission_class_t *class, bool skip_long)
{
	admission_flow_t *best = NULL;
	admission_lane_t *best_lane = NULL;
	admission_ticket_t *ticket;

	for (guint i = 0; i < class->backlogged->len; i++) {
		admission_flow_t *flow = class->backlogged->pdata[i];
		admission_lane_t *lane;

		if (best && flow->start >= best->start)
			continue;
		lane = pick_lane(flow, skip_long);
		if (!lane)
			continue;
		best = flow;
		best_lane = lane;
	}
	if (!best)
		return NULL;
	ticket = best_lane->queue.head->data;
	class->virtual_time = MAX(class->virtual_time, best->start);
	best->start += ticket->work / best->weight;
	best->lane_time = MAX(best->lane_time, best_lane->start);
	best_lane->start += ticket->work;
	return ticket;
}

admission_ticket_t *admission_next(admission_t *admission)
{
	int64_t now_us = clock_now_us(admission->options.clock);
	bool skip_long = is_long_capped(admission, now_us);

	if (admission->running >= admission->capacity || admission->queued == 0)
		return NULL;
	for (int i = 0; i < ADMISSION_PRIORITIES; i++) {
		admission_ticket_t *ticket =
			pick(&admission->classes[i], skip_long);

		if (!ticket)
			continue;
		dequeue(admission, ticket);
		start_running(admission, ticket, now_us);
		return ticket;
	}
	return NULL;
}

void admission_expire_all(admission_t *admission)
{
	for (int i = 0; i < ADMISSION_PRIORITIES; i++) {
		const GPtrArray *flows = admission->classes[i].backlogged;

		for (guint j = 0; j < flows->len; j++) {
			const admission_flow_t *flow = flows->pdata[j];

			for (uint32_t k = 0; k < LANES; k++)
				for (GList *link = flow->lanes[k].queue.head;
				     link; link = link->next)
					((admission_ticket_t *)link->data)
						->expires_us = 0;
		}
	}
	admission->next_expiry_us = 0;
}

static admission_ticket_t *find_expired(admission_t *admission,
					const admission_flow_t *flow,
					int64_t now_us)
{
	for (uint32_t i = 0; i < LANES; i++) {
		GList *link = flow->lanes[i].queue.head;

		for (; link; link = link->next) {
			admission_ticket_t *ticket = link->data;

			if (ticket->expires_us <= now_us)
				return ticket;
			admission->next_expiry_us = MIN(
				admission->next_expiry_us, ticket->expires_us);
		}
	}
	return NULL;
}

admission_ticket_t *admission_expired(admission_t *admission)
{
	int64_t now_us = clock_now_us(admission->options.clock);

	if (admission->queued == 0 || now_us < admission->next_expiry_us)
		return NULL;
	admission->next_expiry_us = INT64_MAX;
	for (int i = 0; i < ADMISSION_PRIORITIES; i++) {
		const GPtrArray *flows = admission->classes[i].backlogged;

		for (guint j = 0; j < flows->len; j++) {
			admission_ticket_t *ticket = find_expired(
				admission, flows->pdata[j], now_us);

			if (!ticket)
				continue;
			admission->next_expiry_us = 0; /* maybe more */
			dequeue(admission, ticket);
			return ticket;
		}
	}
	return NULL;
}
