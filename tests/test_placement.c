#include "coord/placement.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

#define KEYS 48

static const char *const domains[] = { "a", "b", "c", "d", "e" };

/* Returns a table of count alive members as seen by the node number self. */
static member_table_t *table_of(int count, int self)
{
	member_table_t *table = NULL;
	char address[32];

	for (int i = 0; i < count; i++) {
		int n = (self + i) % count;

		snprintf(address, sizeof(address), "10.0.%d.%d:1", n / 250,
			 n % 250);
		if (!table)
			table = member_table_new(address, domains[n % 5]);
		else
			member_add(table, address, domains[n % 5]);
	}
	return table;
}

static uint32_t largest_load(const member_table_t *table,
			     const placement_t *placement)
{
	const GPtrArray *all = member_all(table);
	uint32_t largest = 0;

	for (guint m = 0; m < all->len; m++) {
		const member_t *member = all->pdata[m];
		uint32_t load = 0;

		for (uint32_t i = 0; i < KEYS; i++)
			load += g_strcmp0(placement_owner(placement, i),
					  member->address) == 0;
		largest = MAX(largest, load);
	}
	return largest;
}

/* With 380 nodes, two shards on one node would exceed its memory. */
static void test_bound(void)
{
	static const int sizes[] = { 1, 2, 3, 7, 48, 60, 380 };

	CU_ASSERT_EQUAL(placement_bound(KEYS, 380), 1);
	CU_ASSERT_EQUAL(placement_bound(8, 3), 4);
	CU_ASSERT_EQUAL(placement_bound(8, 0), 10);
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		member_table_t *table = table_of(sizes[s], 0);
		placement_t *placement = placement_new(table, "shard/", KEYS);

		CU_ASSERT(largest_load(table, placement) <=
			  placement_bound(KEYS, (uint32_t)sizes[s]));
		placement_free(placement);
		member_table_free(table);
	}
}

/* Nodes hold their members in different orders. If their placements differed,
 * two nodes would contend for a shard forever. */
static void test_nodes_agree(void)
{
	member_table_t *tables[2] = { table_of(20, 0), table_of(20, 13) };
	placement_t *placements[2];

	for (int i = 0; i < 2; i++)
		placements[i] = placement_new(tables[i], "shard/", KEYS);
	for (uint32_t i = 0; i < KEYS; i++)
		CU_ASSERT_STRING_EQUAL(placement_owner(placements[0], i),
				       placement_owner(placements[1], i));
	for (int i = 0; i < 2; i++) {
		placement_free(placements[i]);
		member_table_free(tables[i]);
	}
}

static void set_state(member_table_t *table, const char *address,
		      const char *domain, member_state_t state)
{
	const GPtrArray *all = member_all(table);

	for (guint i = 0; i < all->len; i++) {
		member_t *member = all->pdata[i];

		if ((address && strcmp(member->address, address) == 0) ||
		    (domain && strcmp(member->domain, domain) == 0))
			member->state = state;
	}
}

static void set_all_alive(member_table_t *table)
{
	for (size_t i = 0; i < G_N_ELEMENTS(domains); i++)
		set_state(table, NULL, domains[i], MEMBER_ALIVE);
}

static uint32_t count_moved(placement_t *before, placement_t *after)
{
	uint32_t moved = 0;

	for (uint32_t i = 0; i < KEYS; i++)
		moved += g_strcmp0(placement_owner(before, i),
				   placement_owner(after, i)) != 0;
	return moved;
}

/* Each move costs a transfer of ownership, so the loss of a member must move
 * few more keys than it had. */
static void test_few_moves(void)
{
	member_table_t *table = table_of(380, 0);
	placement_t *before = placement_new(table, "shard/", KEYS);
	placement_t *after = placement_new(table, "shard/", KEYS);
	uint32_t most_moved = 0;

	for (uint32_t i = 0; i < KEYS; i++) {
		const char *lost = placement_owner(before, i);

		set_state(table, lost, NULL, MEMBER_DEAD);
		placement_update(after);
		most_moved = MAX(most_moved, count_moved(before, after));
		set_state(table, lost, NULL, MEMBER_ALIVE);
	}
	CU_ASSERT(most_moved <= 4);
	placement_free(before);
	placement_free(after);
	member_table_free(table);
}

/* The standby must be the node that gets the shard: any other one watches the
 * head for nothing, and the node that takes over waits one lease longer. */
static void test_standby(void)
{
	int standbys = 0;

	for (int self = 0; self < 380; self++) {
		member_table_t *table = table_of(380, self);
		placement_t *before = placement_new(table, "shard/", KEYS);
		placement_t *after = placement_new(table, "shard/", KEYS);

		for (uint32_t i = 0; i < KEYS; i++) {
			const char *lost = placement_owner(before, i);

			if (!placement_is_standby(before, i))
				continue;
			standbys++;
			set_state(table, NULL, member_find(table, lost)->domain,
				  MEMBER_DEAD);
			placement_update(after);
			if (!placement_is_own(after, i)) {
				set_all_alive(table);
				set_state(table, lost, NULL, MEMBER_DEAD);
				placement_update(after);
				CU_ASSERT_TRUE(placement_is_own(after, i));
			}
			set_all_alive(table);
		}
		placement_free(before);
		placement_free(after);
		member_table_free(table);
	}
	CU_ASSERT(standbys >= KEYS);
	CU_ASSERT(standbys <= 2 * KEYS);
}

/* A member that does not reach the store cannot own anything. When no member
 * reaches it, moving shards would not help. */
static void test_store_unreachable(void)
{
	member_table_t *table = table_of(20, 0);
	placement_t *before = placement_new(table, "shard/", KEYS);
	placement_t *after = placement_new(table, "shard/", KEYS);
	const GPtrArray *all = member_all(table);

	for (guint m = 0; m < 4; m++)
		((member_t *)all->pdata[m])->store_unreachable = true;
	placement_update(after);
	for (uint32_t i = 0; i < KEYS; i++)
		CU_ASSERT_FALSE(member_find(table, placement_owner(after, i))
					->store_unreachable);
	for (guint m = 0; m < all->len; m++)
		((member_t *)all->pdata[m])->store_unreachable = true;
	placement_update(after);
	CU_ASSERT_EQUAL(count_moved(before, after), 0);
	placement_free(before);
	placement_free(after);
	member_table_free(table);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "bound", test_bound },
		{ "nodes_agree", test_nodes_agree },
		{ "few_moves", test_few_moves },
		{ "standby", test_standby },
		{ "store_unreachable", test_store_unreachable },
		{ NULL, NULL },
	};

	return unit_run("placement", tests);
}
