#include "backend/sound_requests.h"
#include "unit.h"

#define SECOND_US 1000000LL

/* An answer must count for ten seconds, as of the last one. */
static void test_age(void)
{
	sound_requests_t *requests = sound_requests_new();

	CU_ASSERT_FALSE(sound_requests_has(requests, 1, SECOND_US));
	sound_requests_note(requests, 1, SECOND_US);
	CU_ASSERT(sound_requests_has(requests, 1, 11 * SECOND_US));
	CU_ASSERT_FALSE(sound_requests_has(requests, 1, 11 * SECOND_US + 1));
	sound_requests_note(requests, 1, 9 * SECOND_US);
	CU_ASSERT(sound_requests_has(requests, 1, 19 * SECOND_US));
	CU_ASSERT_FALSE(sound_requests_has(requests, 2, 9 * SECOND_US));
	sound_requests_free(requests);
}

/* The newest requests must be kept, and no more than twice as many. */
static void test_bound(void)
{
	sound_requests_t *requests = sound_requests_new();

	for (uint64_t i = 1; i <= 5 * SOUND_REQUESTS_MIN; i++) {
		sound_requests_note(requests, i, SECOND_US + (int64_t)i);
		CU_ASSERT_FATAL(sound_requests_size(requests) <=
				2 * SOUND_REQUESTS_MIN);
	}
	CU_ASSERT(sound_requests_has(requests, 4 * SOUND_REQUESTS_MIN + 1,
				     2 * SECOND_US));
	CU_ASSERT_FALSE(sound_requests_has(requests, 1, 2 * SECOND_US));
	sound_requests_free(requests);
}

/* What is old must not be kept, however few requests come. */
static void test_old_ones_go(void)
{
	sound_requests_t *requests = sound_requests_new();

	for (uint64_t i = 1; i <= 10; i++)
		sound_requests_note(requests, i, (int64_t)i * 11 * SECOND_US);
	CU_ASSERT(sound_requests_size(requests) <= 2);
	sound_requests_free(requests);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "age", test_age },
		{ "bound", test_bound },
		{ "old ones go", test_old_ones_go },
		{ NULL, NULL },
	};

	return unit_run("sound_requests", tests);
}
