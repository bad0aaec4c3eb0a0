#include "coord/member.h"

#include <stdio.h>
#include <string.h>

#include "unit.h"

#define TABLES 50
#define KEYS 20

static const char *const domains[] = { "a", "b", "c" };

static member_table_t *random_table(GRand *random)
{
	int count = g_rand_int_range(random, 1, 12);
	member_table_t *table =
		member_table_new("10.0.0.0:1", domains[g_rand_int(random) % 3]);
	char address[32];

	for (int i = 1; i < count; i++) {
		snprintf(address, sizeof(address), "10.0.0.%d:1",
			 g_rand_int_range(random, 1, 200));
		member_add(table, address, domains[g_rand_int(random) % 3])
			->state = g_rand_int_range(random, 0, 5) ?
					  MEMBER_ALIVE :
					  MEMBER_SUSPECT;
	}
	return table;
}

/* Loses the owner, alone or with its domain, and asks for the new owner. */
static bool owns_after_loss(member_table_t *table, const char *key,
			    bool whole_domain)
{
	const member_t *owner = member_owner(table, NULL, key);
	const GPtrArray *all = member_all(table);
	bool owns;

	for (guint i = 0; i < all->len; i++) {
		member_t *member = all->pdata[i];

		if (member->state == MEMBER_ALIVE &&
		    (member == owner ||
		     (whole_domain &&
		      strcmp(member->domain, owner->domain) == 0)))
			member->state = MEMBER_DEAD;
	}
	owns = member_owner(table, NULL, key) == member_self(table);
	for (guint i = 0; i < all->len; i++) {
		member_t *member = all->pdata[i];

		if (member->state == MEMBER_DEAD)
			member->state = MEMBER_ALIVE;
	}
	return owns;
}

/* The standby must be the node that membership chooses after a loss: any other
 * watches for nothing, and the one that takes over waits a lease longer. */
static void test_standby(void)
{
	GRand *random = g_rand_new_with_seed(1);
	int standbys = 0;

	for (int i = 0; i < TABLES; i++) {
		member_table_t *table = random_table(random);

		for (int k = 0; k < KEYS; k++) {
			char key[16];
			bool expected;

			snprintf(key, sizeof(key), "shard/%d", k);
			expected = member_owner(table, NULL, key) !=
					   member_self(table) &&
				   (owns_after_loss(table, key, false) ||
				    owns_after_loss(table, key, true));
			standbys += expected;
			CU_ASSERT_EQUAL(member_is_standby(table, key),
					expected);
		}
		member_table_free(table);
	}
	CU_ASSERT(standbys > 50);
	g_rand_free(random);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "standby", test_standby },
		{ NULL, NULL },
	};

	return unit_run("member", tests);
}
