#include "gateway/relay_choice.h"
#include "unit.h"

/* A node of the same domain that qualifies. */
static relay_candidate_t candidate(uint32_t calls)
{
	return (relay_candidate_t){
		.accepts = true, .local = true, .calls = calls, .age_ms = 100
	};
}

/* Calls must not all go to one node while others have fewer. */
static void test_fewest_calls(void)
{
	const relay_candidate_t nodes[] = { candidate(3), candidate(1),
					    candidate(2) };

	CU_ASSERT_EQUAL(relay_choice(nodes, 3, false, false, 0.99), 1);
}

/* Equal nodes must share the calls. */
static void test_equal_nodes(void)
{
	const relay_candidate_t nodes[] = { candidate(1), candidate(9),
					    candidate(1) };

	CU_ASSERT_EQUAL(relay_choice(nodes, 3, false, false, 0.0), 0);
	CU_ASSERT_EQUAL(relay_choice(nodes, 3, false, false, 0.6), 2);
}

/* A call must not go to a node that cannot pass it on. */
static void test_unfit_nodes(void)
{
	relay_candidate_t node = candidate(0);

	CU_ASSERT_EQUAL(relay_choice(&node, 1, false, false, 0), 0);
	node.lost_target = true;
	CU_ASSERT_EQUAL(relay_choice(&node, 1, true, false, 0), -1);
	node = candidate(0);
	node.accepts = false;
	CU_ASSERT_EQUAL(relay_choice(&node, 1, true, false, 0), -1);
	node = candidate(0);
	node.avoided = true;
	CU_ASSERT_EQUAL(relay_choice(&node, 1, true, false, 0), -1);
	node = candidate(0);
	node.age_ms = 1500;
	CU_ASSERT_EQUAL(relay_choice(&node, 1, true, false, 0), -1);
	CU_ASSERT_EQUAL(relay_choice(NULL, 0, true, false, 0), -1);
}

/* A domain that is cut off from all must not cost calls through a third one,
 * while a node that has lost all runners needs any other node. */
static void test_third_domain(void)
{
	relay_candidate_t nodes[] = { candidate(0), candidate(0) };

	nodes[0].local = false;
	CU_ASSERT_EQUAL(relay_choice(nodes, 1, false, false, 0), -1);
	CU_ASSERT_EQUAL(relay_choice(nodes, 1, true, false, 0), 0);
	nodes[1].local = false;
	nodes[1].target = true;
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, false, 0), 1);
}

/* A node of the own domain must be preferred, but not swamped. */
static void test_other_domain(void)
{
	relay_candidate_t nodes[] = { candidate(3), candidate(0) };

	nodes[1].local = false;
	nodes[1].target = true;
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, false, 0), 0);
	nodes[0].calls = 5;
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, false, 0), 1);
}

/* A node that stops must be spared, but is better than none. */
static void test_draining(void)
{
	relay_candidate_t nodes[] = { candidate(0), candidate(200) };

	nodes[0].draining = true;
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, false, 0), 1);
	nodes[1].avoided = true;
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, false, 0), 0);
	nodes[0].repeatable_only = true;
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, false, 0), -1);
	CU_ASSERT_EQUAL(relay_choice(nodes, 2, false, true, 0), 0);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "fewest calls", test_fewest_calls },
		{ "equal nodes", test_equal_nodes },
		{ "unfit nodes", test_unfit_nodes },
		{ "third domain", test_third_domain },
		{ "other domain", test_other_domain },
		{ "draining", test_draining },
		{ NULL, NULL },
	};

	return unit_run("relay_choice", tests);
}
