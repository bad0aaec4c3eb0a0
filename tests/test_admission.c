#include "coord/admission.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

static clock_manual_t clock_manual;

static admission_t *open_admission(uint32_t capacity, uint32_t max_queue)
{
	admission_options_t options = { .clock = &clock_manual.base,
					.max_queue = max_queue,
					.max_wait_us = 1000000 };
	admission_t *admission;

	clock_manual_init(&clock_manual, 0);
	admission = admission_new(&options);
	admission_set_capacity(admission, capacity);
	return admission;
}

static admission_state_t offer(admission_t *admission,
			       admission_ticket_t *ticket,
			       admission_priority_t priority,
			       const char *workspace, uint32_t work)
{
	int64_t retry_ms;

	memset(ticket, 0, sizeof(*ticket));
	ticket->priority = priority;
	ticket->work = work;
	return admission_offer(admission, ticket, workspace,
			       strcmp(workspace, "heavy") == 0 ? 3 : 1,
			       &retry_ms);
}

static void test_online_before_batch(void)
{
	admission_t *admission = open_admission(1, 10);
	admission_ticket_t first;
	admission_ticket_t batch;
	admission_ticket_t online;

	CU_ASSERT_EQUAL(offer(admission, &first, ADMISSION_ONLINE, "a", 16),
			ADMISSION_RUNNING);
	CU_ASSERT_EQUAL(offer(admission, &batch, ADMISSION_BATCH, "a", 16),
			ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(offer(admission, &online, ADMISSION_ONLINE, "a", 16),
			ADMISSION_QUEUED);
	CU_ASSERT_PTR_NULL(admission_next(admission));
	admission_release(admission, &first);
	CU_ASSERT_PTR_EQUAL(admission_next(admission), &online);
	admission_release(admission, &online);
	CU_ASSERT_PTR_EQUAL(admission_next(admission), &batch);
	admission_release(admission, &batch);
	admission_free(admission);
}

/* Runs the queued tickets one after the other; returns how many of the first
 * ones belong to the range. */
static int count_in_first(admission_t *admission, admission_ticket_t *running,
			  const admission_ticket_t *range, size_t len,
			  int steps)
{
	int count = 0;

	admission_release(admission, running);
	for (int i = 0; i < steps; i++) {
		admission_ticket_t *next = admission_next(admission);

		count += next >= range && next < range + len;
		admission_release(admission, next);
	}
	return count;
}

/* A workspace that floods the queue must not take the share of the others. */
static void test_weighted_fairness(void)
{
	admission_t *admission = open_admission(1, 1000);
	admission_ticket_t first;
	admission_ticket_t flood[100];
	admission_ticket_t heavy[100];
	int count;

	offer(admission, &first, ADMISSION_ONLINE, "a", 16);
	for (int i = 0; i < 100; i++)
		offer(admission, &flood[i], ADMISSION_ONLINE, "a", 16);
	for (int i = 0; i < 100; i++)
		offer(admission, &heavy[i], ADMISSION_ONLINE, "heavy", 16);
	count = count_in_first(admission, &first, heavy, 100, 80);
	CU_ASSERT(count >= 58);
	CU_ASSERT(count <= 62);
	for (int i = 0; i < 100; i++) {
		admission_release(admission, &flood[i]);
		admission_release(admission, &heavy[i]);
	}
	admission_free(admission);
}

/* Short requests must pass queued long ones, which must still get their
 * share. */
static void test_short_passes_long(void)
{
	admission_t *admission = open_admission(1, 1000);
	admission_ticket_t first;
	admission_ticket_t longs[10];
	admission_ticket_t shorts[200];
	int count;

	offer(admission, &first, ADMISSION_ONLINE, "a", 16);
	for (int i = 0; i < 10; i++)
		offer(admission, &longs[i], ADMISSION_ONLINE, "a", 800);
	for (int i = 0; i < 200; i++)
		offer(admission, &shorts[i], ADMISSION_ONLINE, "a", 16);
	count = count_in_first(admission, &first, longs, 10, 105);
	CU_ASSERT(count >= 2);
	CU_ASSERT(count <= 3);
	for (int i = 0; i < 10; i++)
		admission_release(admission, &longs[i]);
	for (int i = 0; i < 200; i++)
		admission_release(admission, &shorts[i]);
	admission_free(admission);
}

/* Long requests must not take every slot while short ones arrive. */
static void test_slots_reserved_for_short(void)
{
	admission_t *admission = open_admission(8, 1000);
	admission_ticket_t typical;
	admission_ticket_t longs[8];
	admission_ticket_t short_ticket;

	offer(admission, &typical, ADMISSION_ONLINE, "a", 16);
	admission_release(admission, &typical);
	for (int i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(
			offer(admission, &longs[i], ADMISSION_ONLINE, "a", 800),
			i < 6 ? ADMISSION_RUNNING : ADMISSION_QUEUED);
	CU_ASSERT_PTR_NULL(admission_next(admission));
	offer(admission, &short_ticket, ADMISSION_ONLINE, "a", 16);
	if (short_ticket.state == ADMISSION_QUEUED)
		CU_ASSERT_PTR_EQUAL(admission_next(admission), &short_ticket);
	CU_ASSERT_EQUAL(short_ticket.state, ADMISSION_RUNNING);
	/* Without short requests the slots must not stay free. */
	clock_manual_advance_ms(&clock_manual, 2000);
	CU_ASSERT_PTR_NOT_NULL(admission_next(admission));
	admission_release(admission, &short_ticket);
	for (int i = 0; i < 8; i++)
		admission_release(admission, &longs[i]);
	admission_free(admission);
}

/* Queued requests must expire after the maximum wait, and not before. */
static void test_expiry(void)
{
	admission_t *admission = open_admission(1, 10);
	admission_ticket_t first;
	admission_ticket_t waiting;

	offer(admission, &first, ADMISSION_ONLINE, "a", 16);
	offer(admission, &waiting, ADMISSION_ONLINE, "a", 16);
	clock_manual_advance_ms(&clock_manual, 999);
	CU_ASSERT_PTR_NULL(admission_expired(admission));
	clock_manual_advance_ms(&clock_manual, 1);
	CU_ASSERT_PTR_EQUAL(admission_expired(admission), &waiting);
	CU_ASSERT_PTR_NULL(admission_expired(admission));
	CU_ASSERT_EQUAL(admission_queued(admission), 0);
	admission_release(admission, &first);
	admission_free(admission);
}

/* All queued requests must expire at once when nothing can run, and later ones
 * as usual. */
static void test_expire_all(void)
{
	static const char *const workspaces[] = { "a", "b" };
	admission_t *admission = open_admission(1, 10);
	admission_ticket_t first;
	admission_ticket_t waiting[6];
	admission_ticket_t later;
	int expired = 0;

	offer(admission, &first, ADMISSION_ONLINE, "a", 16);
	for (int i = 0; i < 6; i++)
		offer(admission, &waiting[i],
		      i < 4 ? ADMISSION_ONLINE : ADMISSION_BATCH,
		      workspaces[i % 2], i < 2 ? 16 : 4096);
	admission_expire_all(admission);
	while (admission_expired(admission))
		expired++;
	CU_ASSERT_EQUAL(expired, 6);
	CU_ASSERT_EQUAL(admission_queued(admission), 0);
	CU_ASSERT_EQUAL(admission_running(admission), 1);
	CU_ASSERT_EQUAL(offer(admission, &later, ADMISSION_ONLINE, "a", 16),
			ADMISSION_QUEUED);
	CU_ASSERT_PTR_NULL(admission_expired(admission));
	admission_release(admission, &first);
	CU_ASSERT_PTR_EQUAL(admission_next(admission), &later);
	admission_release(admission, &later);
	admission_free(admission);
}

/* Under overload a request must be refused on arrival, not after the wait. */
static void test_early_refusal(void)
{
	admission_t *admission = open_admission(1, 1000);
	admission_ticket_t tickets[100];
	int refused = 0;

	offer(admission, &tickets[0], ADMISSION_ONLINE, "a", 16);
	clock_manual_advance_ms(&clock_manual, 100);
	admission_release(admission, &tickets[0]);
	for (int i = 0; i < 100; i++)
		refused += offer(admission, &tickets[i], ADMISSION_ONLINE, "a",
				 16) == ADMISSION_REFUSED;
	/* At 100 ms each, about ten fit into the maximum wait of 1 s. */
	CU_ASSERT(refused >= 87);
	CU_ASSERT(refused <= 91);
	for (int i = 0; i < 100; i++)
		admission_release(admission, &tickets[i]);
	admission_free(admission);
}

/* A queue that never empties adds delay and no throughput, so it must
 * shrink. */
static void test_standing_queue(void)
{
	admission_t *admission = open_admission(1, 1000);
	admission_ticket_t *tickets = g_new0(admission_ticket_t, 400);
	admission_ticket_t *running = &tickets[0];
	int next = 1;

	offer(admission, running, ADMISSION_ONLINE, "a", 16);
	/* 100 ms each, offered at twice that rate for 10 s. */
	for (int step = 0; step < 100; step++) {
		clock_manual_advance_ms(&clock_manual, 100);
		for (int i = 0; i < 2; i++)
			offer(admission, &tickets[next++], ADMISSION_ONLINE,
			      "a", 16);
		admission_release(admission, running);
		while (admission_expired(admission))
			;
		running = admission_next(admission);
		CU_ASSERT_PTR_NOT_NULL_FATAL(running);
	}
	CU_ASSERT(admission_queued(admission) >= 1);
	CU_ASSERT(admission_queued(admission) <= 4);
	for (int i = 0; i < 400; i++)
		admission_release(admission, &tickets[i]);
	g_free(tickets);
	admission_free(admission);
}

/* A full queue must not refuse a workspace that has no requests in it. */
static void test_full_queue_is_shared(void)
{
	admission_t *admission = open_admission(1, 10);
	admission_ticket_t first;
	admission_ticket_t flood[11];
	admission_ticket_t other;

	offer(admission, &first, ADMISSION_ONLINE, "a", 16);
	for (int i = 0; i < 11; i++)
		CU_ASSERT_EQUAL(
			offer(admission, &flood[i], ADMISSION_ONLINE, "a", 16),
			i < 10 ? ADMISSION_QUEUED : ADMISSION_REFUSED);
	CU_ASSERT_EQUAL(offer(admission, &other, ADMISSION_ONLINE, "b", 16),
			ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(admission_expired(admission)->flow, flood[0].flow);
	CU_ASSERT_EQUAL(admission_queued(admission), 10);
	admission_release(admission, &first);
	for (int i = 0; i < 11; i++)
		admission_release(admission, &flood[i]);
	admission_release(admission, &other);
	admission_free(admission);
}

/* Every ticket must end exactly once: the counts must return to zero. */
static void test_random_sequence(void)
{
	admission_t *admission = open_admission(4, 50);
	admission_ticket_t *tickets = g_new0(admission_ticket_t, 200);
	GRand *random = g_rand_new_with_seed(42);
	static const char *const names[] = { "a", "b", "heavy" };

	for (int step = 0; step < 20000; step++) {
		admission_ticket_t *ticket =
			&tickets[g_rand_int_range(random, 0, 200)];

		if (ticket->state == ADMISSION_IDLE ||
		    ticket->state == ADMISSION_REFUSED)
			offer(admission, ticket, g_rand_int_range(random, 0, 2),
			      names[g_rand_int_range(random, 0, 3)],
			      1U << g_rand_int_range(random, 0, 16));
		else
			admission_release(admission, ticket);
		clock_manual_advance_ms(&clock_manual,
					g_rand_int_range(random, 0, 3));
		while (admission_next(admission))
			;
		while (admission_expired(admission))
			;
		CU_ASSERT_FATAL(admission_running(admission) <= 4);
		CU_ASSERT_FATAL(admission_queued(admission) <= 51);
	}
	for (int i = 0; i < 200; i++)
		admission_release(admission, &tickets[i]);
	CU_ASSERT_EQUAL(admission_running(admission), 0);
	CU_ASSERT_EQUAL(admission_queued(admission), 0);
	g_rand_free(random);
	g_free(tickets);
	admission_free(admission);
}

/* The state of idle workspaces must not grow without bound, and workspaces with
 * queued requests must be kept. */
static void test_idle_workspaces(void)
{
	admission_t *admission = open_admission(1, 1000);
	admission_ticket_t running;
	admission_ticket_t waiting;
	admission_ticket_t ticket;
	char name[16];

	offer(admission, &running, ADMISSION_ONLINE, "a", 16);
	offer(admission, &waiting, ADMISSION_ONLINE, "b", 16);
	for (int i = 0; i < 10000; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		offer(admission, &ticket, ADMISSION_ONLINE, name, 16);
		admission_release(admission, &ticket);
		clock_manual_advance_ms(&clock_manual, 20);
	}
	/* At 50 new workspaces per second, each is kept for one second. */
	CU_ASSERT(admission_flows(admission) <= 130);
	admission_release(admission, &running);
	CU_ASSERT_PTR_EQUAL(admission_next(admission), &waiting);
	admission_release(admission, &waiting);
	admission_free(admission);
}

/* The baseline of tests/bench/fairness.py keeps the order of arrival. */
static void test_first_come(void)
{
	admission_options_t options = { .clock = &clock_manual.base,
					.max_queue = 10,
					.max_wait_us = 1000000,
					.first_come = true };
	admission_t *admission = admission_new(&options);
	admission_ticket_t tickets[4];
	static const char *const names[] = { "a", "a", "a", "heavy" };

	clock_manual_init(&clock_manual, 0);
	admission_set_capacity(admission, 1);
	for (int i = 0; i < 4; i++)
		offer(admission, &tickets[i], ADMISSION_ONLINE, names[i],
		      i == 1 ? 1600 : 16);
	for (int i = 1; i < 4; i++) {
		admission_release(admission, &tickets[i - 1]);
		CU_ASSERT_PTR_EQUAL(admission_next(admission), &tickets[i]);
	}
	admission_release(admission, &tickets[3]);
	admission_free(admission);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "online before batch", test_online_before_batch },
		{ "weighted fairness", test_weighted_fairness },
		{ "short passes long", test_short_passes_long },
		{ "slots reserved for short", test_slots_reserved_for_short },
		{ "expiry", test_expiry },
		{ "expire all", test_expire_all },
		{ "early refusal", test_early_refusal },
		{ "standing queue", test_standing_queue },
		{ "full queue is shared", test_full_queue_is_shared },
		{ "random sequence", test_random_sequence },
		{ "idle workspaces", test_idle_workspaces },
		{ "first come, first served", test_first_come },
		{ NULL, NULL },
	};

	return unit_run("admission", tests);
}
