#include "backend/runner.h"

#include "object/object_store.h"
#include "unit.h"

static void update(runner_set_t *set, const char *partner,
		   const char *deployment, const char *role)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(platform_vm_t));
	const platform_vm_t vm = {
		.address = (char *)"10.0.0.1:1",
		.role = (char *)role,
		.domain = (char *)"d",
		.partner = (char *)partner,
		.deployment = (char *)deployment,
		.state = (char *)"live",
	};

	g_array_append_val(vms, vm);
	runner_set_update(set, vms);
	g_array_free(vms, TRUE);
}

static guint found(runner_set_t *set, const char *partner,
		   const char *deployment, bool is_service)
{
	return runner_set_find(set, partner, deployment, is_service)->len;
}

/* The operator puts a VM under another deployment, or another partner. Guards
 * against sending it what the former one was asked for, and nothing else. */
static void test_address_of_another_deployment(void)
{
	runner_set_t *set = runner_set_new();

	update(set, "guild", "muse", "runner");
	CU_ASSERT_EQUAL(found(set, "guild", "muse", false), 1);
	update(set, "guild", "other", "runner");
	CU_ASSERT_EQUAL(found(set, "guild", "muse", false), 0);
	CU_ASSERT_EQUAL(found(set, "guild", "other", false), 1);
	update(set, "shannonside", "other", "runner");
	CU_ASSERT_EQUAL(found(set, "guild", "other", false), 0);
	CU_ASSERT_EQUAL(found(set, "shannonside", "other", false), 1);
	update(set, "shannonside", "other", "service");
	CU_ASSERT_EQUAL(found(set, "shannonside", "other", false), 0);
	CU_ASSERT_EQUAL(found(set, "shannonside", "other", true), 1);
	CU_ASSERT_EQUAL(runner_set_size(set), 1);
	runner_set_free(set);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "address of another deployment",
		  test_address_of_another_deployment },
		{ NULL, NULL },
	};

	return unit_run("runner", tests);
}
