#include "batch/slot.h"

#include "unit.h"

static const slot_options_t learned = { .policy = SLOT_LEARNED, .reserve = 1 };

/* Online load must get its slots at once, batch items only in steps. */
static void test_fall_and_growth(void)
{
	slot_t slot;
	uint32_t before = 0;
	int64_t now_ms = 0;

	slot_init(&slot);
	slot_report(&slot, 16);
	CU_ASSERT(slot_allowed(&slot, &learned, 0, now_ms) < 15);
	for (; now_ms < 1000; now_ms += 10) {
		uint32_t allowed = slot_allowed(&slot, &learned, 0, now_ms);

		CU_ASSERT(allowed >= before);
		before = allowed;
	}
	CU_ASSERT_EQUAL(before, 15);
	CU_ASSERT_EQUAL(slot_allowed(&slot, &learned, 10, now_ms), 5);
	CU_ASSERT_EQUAL(slot_allowed(&slot, &learned, 20, now_ms), 0);
	CU_ASSERT(slot_allowed(&slot, &learned, 0, now_ms + 1) < 15);
}

/* The capacity must shrink when the engine slows down below its reported
 * slots. */
static void test_capacity_follows_intervals(void)
{
	slot_t slot;
	int64_t now_ms = 0;

	slot_init(&slot);
	slot_report(&slot, 10);
	for (; now_ms < 5000; now_ms += 10)
		slot_observe(&slot, 5000, now_ms);
	CU_ASSERT_DOUBLE_EQUAL(slot.capacity, 10, 0.01);
	for (; now_ms < 10000; now_ms += 10)
		slot_observe(&slot, 15000, now_ms);
	CU_ASSERT(slot.capacity < 5);
	for (; now_ms < 30000; now_ms += 10)
		slot_observe(&slot, 5000, now_ms);
	CU_ASSERT_DOUBLE_EQUAL(slot.capacity, 10, 0.01);
}

static void test_other_policies(void)
{
	slot_options_t options = { .policy = SLOT_FIXED, .fixed = 3 };
	slot_policy_t policy;
	slot_t slot;

	slot_init(&slot);
	for (int i = 0; i < 10; i++)
		slot_allowed(&slot, &options, 50, i * 100);
	CU_ASSERT_EQUAL(slot_allowed(&slot, &options, 50, 1000), 3);
	options.policy = SLOT_OFF;
	CU_ASSERT_EQUAL(slot_allowed(&slot, &options, 0, 2000), 0);
	CU_ASSERT_TRUE(slot_parse_policy("unlimited", &policy));
	CU_ASSERT_EQUAL(policy, SLOT_UNLIMITED);
	CU_ASSERT_FALSE(slot_parse_policy("other", &policy));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "fall and growth", test_fall_and_growth },
		{ "capacity follows intervals",
		  test_capacity_follows_intervals },
		{ "other policies", test_other_policies },
		{ NULL, NULL },
	};

	return unit_run("slot", tests);
}
