#include "coord/vm_view.h"

#include <string.h>

#include "unit.h"

#define VMS 12

static void apply_changed(const platform_vm_t *vm, void *user_data)
{
	vm_view_put(user_data, vm);
}

static void apply_removed(const char *address, void *user_data)
{
	vm_view_remove(user_data, address);
}

static void apply_since(const vm_view_t *from, vm_view_t *to)
{
	if (!vm_view_since(from, vm_view_id(to), vm_view_sequence(to),
			   apply_changed, apply_removed, to) ||
	    vm_view_sequence(to) == 0) {
		vm_view_reset(to, vm_view_id(from));
		vm_view_since(from, 0, 0, apply_changed, apply_removed, to);
	}
	vm_view_set_sequence(to, vm_view_sequence(from));
}

static bool equal_views(vm_view_t *a, vm_view_t *b)
{
	const GArray *left = vm_view_vms(a);
	const GArray *right = vm_view_vms(b);

	if (left->len != right->len)
		return false;
	for (guint i = 0; i < left->len; i++) {
		platform_vm_t *vm = &g_array_index(left, platform_vm_t, i);
		bool found = false;

		for (guint j = 0; j < right->len; j++) {
			platform_vm_t *other =
				&g_array_index(right, platform_vm_t, j);

			found = found ||
				(strcmp(vm->address, other->address) == 0 &&
				 strcmp(vm->state, other->state) == 0);
		}
		if (!found)
			return false;
	}
	return true;
}

static GArray *random_list(GRand *random, char addresses[VMS][16])
{
	GArray *vms = g_array_new(FALSE, TRUE, sizeof(platform_vm_t));

	for (int i = 0; i < VMS; i++) {
		platform_vm_t vm = { addresses[i], "runner", "d",
				     "p",	   "m",	     "live" };

		if (g_rand_int_range(random, 0, 5) == 0)
			continue;
		if (g_rand_int_range(random, 0, 4) == 0)
			vm.state = "leaving";
		g_array_append_val(vms, vm);
	}
	return vms;
}

/* Compares differences with copies of the complete list: after a missed
 * removal, requests would still be sent to a VM that was removed. */
static void test_differences_equal_complete_copies(void)
{
	char addresses[VMS][16];

	for (int i = 0; i < VMS; i++)
		g_snprintf(addresses[i], sizeof(addresses[i]), "vm-%d", i);
	for (guint32 seed = 1; seed <= 100; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		vm_view_t *source = vm_view_new(7);
		vm_view_t *copy = vm_view_new(0);

		for (int step = 0; step < 60; step++) {
			GArray *vms = random_list(random, addresses);

			vm_view_update(source, vms);
			g_array_free(vms, TRUE);
			if (g_rand_boolean(random)) {
				apply_since(source, copy);
				CU_ASSERT_TRUE(equal_views(source, copy));
			}
			/* A new watcher starts its own sequence. */
			if (g_rand_int_range(random, 0, 20) == 0) {
				vm_view_free(source);
				source = vm_view_new(g_rand_int(random) | 1);
			}
		}
		vm_view_free(source);
		vm_view_free(copy);
		g_rand_free(random);
	}
}

/* An unchanged list must not produce a difference. */
static void test_unchanged_list_keeps_the_sequence(void)
{
	platform_vm_t vm = { "a", "runner", "d", "p", "m", "live" };
	GArray *vms = g_array_new(FALSE, TRUE, sizeof(platform_vm_t));
	vm_view_t *view = vm_view_new(1);

	g_array_append_val(vms, vm);
	CU_ASSERT_TRUE(vm_view_update(view, vms));
	CU_ASSERT_FALSE(vm_view_update(view, vms));
	CU_ASSERT_EQUAL(vm_view_sequence(view), 1);
	g_array_free(vms, TRUE);
	vm_view_free(view);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "differences equal complete copies",
		  test_differences_equal_complete_copies },
		{ "unchanged list keeps the sequence",
		  test_unchanged_list_keeps_the_sequence },
		{ NULL, NULL },
	};

	return unit_run("vm_view", tests);
}
