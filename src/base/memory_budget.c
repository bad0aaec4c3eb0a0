#include "base/memory_budget.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Part of the bound from which on a holder is large. */
#define LARGE_DIVISOR 64
/* A peer that sends nothing for this time does not move. */
#define STALLED_MS 1000
/* At most one line for each period; the others are counted. */
#define LOG_PERIOD_MS 100

struct memory_budget {
	size_t limit_bytes;
	size_t used_bytes;
	size_t leaving_bytes; /* of holders that have given way */
	GQueue holders; /* memory_holder_t with bytes */
	struct event *reduce_event;
	int64_t logged_ms;
	uint32_t unlogged;
	int64_t *given_way_total;
	int64_t *kept_bytes;
};

/* Bytes of holders that have given way are about to be freed. */
static size_t bytes_to_stay(const memory_budget_t *budget)
{
	return budget->used_bytes - budget->leaving_bytes;
}

/* What large holders that are receiving may use, with all others. */
static size_t receiving_limit(const memory_budget_t *budget)
{
	return budget->limit_bytes / 4 * 3;
}

/* Holders of which those with a higher rank give way first, and the largest of
 * these. */
typedef enum rank {
	RANK_SMALL,
	RANK_SMALL_RECEIVING,
	RANK_SMALL_STALLED,
	RANK_LARGE,
	RANK_LARGE_RECEIVING,
	RANK_LARGE_STALLED
} rank_t;

static rank_t rank_of(const memory_budget_t *budget,
		      const memory_holder_t *holder, int64_t now_ms)
{
	bool large = holder->bytes > budget->limit_bytes / LARGE_DIVISOR;

	if (!holder->receiving)
		return large ? RANK_LARGE : RANK_SMALL;
	if (now_ms - holder->grown_ms < STALLED_MS)
		return large ? RANK_LARGE_RECEIVING : RANK_SMALL_RECEIVING;
	return large ? RANK_LARGE_STALLED : RANK_SMALL_STALLED;
}

/* Returns the holder to give way; NULL: none has to. */
static memory_holder_t *find_next(const memory_budget_t *budget)
{
	int64_t now_ms = clock_now_ms(clock_system());
	memory_holder_t *found = NULL;
	rank_t found_rank = RANK_SMALL;

	if (bytes_to_stay(budget) <= receiving_limit(budget))
		return NULL;
	for (GList *link = budget->holders.head; link; link = link->next) {
		memory_holder_t *holder = link->data;
		rank_t rank;

		if (holder->gave_way)
			continue;
		rank = rank_of(budget, holder, now_ms);
		if (found &&
		    (rank < found_rank ||
		     (rank == found_rank && holder->bytes <= found->bytes)))
			continue;
		found = holder;
		found_rank = rank;
	}
	if (found_rank < RANK_LARGE_RECEIVING &&
	    bytes_to_stay(budget) <= budget->limit_bytes)
		return NULL;
	return found;
}

static void log_given_way(memory_budget_t *budget,
			  const memory_holder_t *holder)
{
	int64_t now_ms = clock_now_ms(clock_system());

	if (budget->logged_ms && now_ms - budget->logged_ms < LOG_PERIOD_MS) {
		budget->unlogged++;
		return;
	}
	log_warn("memory_given_way",
		 "kind=%s bytes=%zu receiving=%d kept_bytes=%zu "
		 "limit_bytes=%zu unlogged=%u",
		 holder->kind, holder->bytes, holder->receiving,
		 budget->used_bytes, budget->limit_bytes, budget->unlogged);
	budget->logged_ms = now_ms;
	budget->unlogged = 0;
}

static void mark_given_way(memory_holder_t *holder)
{
	memory_budget_t *budget = holder->budget;

	log_given_way(budget, holder);
	if (budget->given_way_total)
		(*budget->given_way_total)++;
	holder->gave_way = true;
	budget->leaving_bytes += holder->bytes;
}

static void on_reduce(evutil_socket_t fd, short events, void *arg)
{
	memory_budget_t *budget = arg;
	memory_holder_t *holder;

	while ((holder = find_next(budget))) {
		mark_given_way(holder);
		holder->give_way(holder->user_data);
	}
}

static void reduce_later(memory_budget_t *budget)
{
	event_active(budget->reduce_event, EV_TIMEOUT, 0);
}

memory_budget_t *memory_budget_new(struct event_base *base, size_t limit_bytes)
{
	memory_budget_t *budget = g_new0(memory_budget_t, 1);

	budget->limit_bytes = limit_bytes;
	g_queue_init(&budget->holders);
	budget->reduce_event = event_new(base, -1, 0, on_reduce, budget);
	return budget;
}

void memory_budget_count(memory_budget_t *budget, counter_set_t *counters,
			 const char *labels)
{
	if (!budget)
		return;
	budget->given_way_total = counter_get(counters, COUNTER_MONOTONIC,
					      "memory_given_way_total", labels);
	budget->kept_bytes = counter_get(counters, COUNTER_GAUGE,
					 "memory_kept_bytes", labels);
}

void memory_budget_free(memory_budget_t *budget)
{
	if (!budget)
		return;
	event_free(budget->reduce_event);
	g_free(budget);
}

size_t memory_budget_used(const memory_budget_t *budget)
{
	return budget ? budget->used_bytes : 0;
}

size_t memory_budget_limit(const memory_budget_t *budget)
{
	return budget ? receiving_limit(budget) : SIZE_MAX;
}

bool memory_budget_is_full(const memory_budget_t *budget)
{
	return budget && budget->used_bytes > budget->limit_bytes;
}

void memory_holder_init(memory_holder_t *holder, memory_budget_t *budget,
			const char *kind, memory_give_way_t give_way,
			void *user_data)
{
	*holder = (memory_holder_t){ .budget = budget,
				     .kind = kind,
				     .give_way = give_way,
				     .user_data = user_data };
	holder->link.data = holder;
}

void memory_holder_set(memory_holder_t *holder, size_t bytes)
{
	memory_budget_t *budget = holder->budget;

	if (!budget || bytes == holder->bytes)
		return;
	if (holder->bytes == 0)
		g_queue_push_tail_link(&budget->holders, &holder->link);
	else if (bytes == 0)
		g_queue_unlink(&budget->holders, &holder->link);
	if (holder->receiving && bytes > holder->bytes)
		holder->grown_ms = clock_now_ms(clock_system());
	budget->used_bytes += bytes - holder->bytes;
	if (holder->gave_way)
		budget->leaving_bytes += bytes - holder->bytes;
	holder->bytes = bytes;
	if (budget->kept_bytes)
		*budget->kept_bytes = (int64_t)budget->used_bytes;
	if (bytes_to_stay(budget) > receiving_limit(budget))
		reduce_later(budget);
}

void memory_holder_set_receiving(memory_holder_t *holder, bool receiving)
{
	if (holder->receiving == receiving)
		return;
	holder->receiving = receiving;
	if (receiving)
		holder->grown_ms = clock_now_ms(clock_system());
}

bool memory_holder_make_room(memory_holder_t *holder)
{
	memory_budget_t *budget = holder->budget;
	memory_holder_t *next;

	if (!budget)
		return true;
	while ((next = find_next(budget))) {
		/* Requests in progress end outside the callbacks of others. */
		if (!next->receiving && next != holder) {
			reduce_later(budget);
			break;
		}
		mark_given_way(next);
		if (next == holder)
			return false;
		next->give_way(next->user_data);
	}
	/* What is to end outside of this callback is still kept until then. */
	if (budget->used_bytes <= budget->limit_bytes)
		return true;
	mark_given_way(holder);
	return false;
}

void memory_holder_clear(memory_holder_t *holder)
{
	memory_holder_set(holder, 0);
	holder->gave_way = false;
}
