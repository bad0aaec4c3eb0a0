#include "entry/request_state.h"

#include "unit.h"

/* A refusal that says not_run must be true: no state in which a byte may have
 * gone out permits it. */
static void test_answers(void)
{
	for (int state = 0; state < REQUEST_STATE_COUNT; state++) {
		work_state_t work = request_state_work(state);

		CU_ASSERT_EQUAL(work == WORK_NOT_RUN,
				state < REQUEST_DISPATCHED);
		CU_ASSERT_EQUAL(work == WORK_RAN, state == REQUEST_RECORDED);
	}
}

/* A recorded request is final, and a stream never becomes undone. */
static void test_no_way_back(void)
{
	for (int to = 0; to < REQUEST_STATE_COUNT; to++) {
		CU_ASSERT_EQUAL(request_state_allows(REQUEST_RECORDED, to),
				to == REQUEST_RECORDED);
		CU_ASSERT_EQUAL(request_state_allows(REQUEST_STREAMING, to),
				to >= REQUEST_STREAMING);
	}
	CU_ASSERT_FALSE(
		request_state_allows(REQUEST_RECEIVED, REQUEST_DISPATCHED));
	CU_ASSERT_TRUE(
		request_state_allows(REQUEST_DISPATCHED, REQUEST_QUEUED));
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "answers", test_answers },
		{ "no way back", test_no_way_back },
		{ NULL, NULL },
	};

	return unit_run("request_state", tests);
}
