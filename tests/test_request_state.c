#include "entry/request_state.h"

#include "unit.h"

/* An error response must state not_run only if it is certain: no state in which
 * a byte may have been sent permits it. */
static void test_work_statements(void)
{
	for (int state = 0; state < REQUEST_STATE_COUNT; state++) {
		work_state_t work = request_state_work(state);

		CU_ASSERT_EQUAL(work == WORK_NOT_RUN,
				state < REQUEST_DISPATCHED);
		CU_ASSERT_EQUAL(work == WORK_RAN, state == REQUEST_RECORDED);
	}
}

/* The recorded state is final, and a streaming request never returns to an
 * earlier state, from which it could run a second time. */
static void test_no_backward_transition(void)
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
		{ "work statements", test_work_statements },
		{ "no backward transition", test_no_backward_transition },
		{ NULL, NULL },
	};

	return unit_run("request_state", tests);
}
