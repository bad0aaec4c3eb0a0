#include "backend/runner.h"

#include <string.h>

#include "base/log.h"
#include "object/object_store.h"

struct runner_set {
	GHashTable *by_address; /* address -> runner_t */
	GPtrArray *found;
};

static void runner_free(void *data)
{
	runner_t *runner = data;

	g_free(runner->address);
	g_free(runner->domain);
	g_free(runner->partner);
	g_free(runner->deployment);
	g_free(runner);
}

runner_set_t *runner_set_new(void)
{
	runner_set_t *set = g_new0(runner_set_t, 1);

	set->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						runner_free);
	set->found = g_ptr_array_new();
	return set;
}

void runner_set_free(runner_set_t *set)
{
	if (!set)
		return;
	g_hash_table_destroy(set->by_address);
	g_ptr_array_free(set->found, TRUE);
	g_free(set);
}

static bool is_service(const platform_vm_t *vm)
{
	return strcmp(vm->role, "service") == 0;
}

/* Whether the address still belongs to the same deployment or service. */
static bool is_same(const runner_t *runner, const platform_vm_t *vm)
{
	return runner->is_service == is_service(vm) &&
	       strcmp(runner->partner, vm->partner) == 0 &&
	       strcmp(runner->deployment, vm->deployment) == 0 &&
	       strcmp(runner->domain, vm->domain) == 0;
}

static void add_or_update(runner_set_t *set, const platform_vm_t *vm)
{
	runner_t *runner = g_hash_table_lookup(set->by_address, vm->address);

	if (runner && !is_same(runner, vm)) {
		log_info("runner_reassigned",
			 "runner=%s partner=%s deployment=%s former=%s",
			 vm->address, vm->partner, vm->deployment,
			 runner->deployment);
		g_hash_table_remove(set->by_address, vm->address);
		runner = NULL;
	}
	if (!runner) {
		runner = g_new0(runner_t, 1);
		runner->address = g_strdup(vm->address);
		runner->domain = g_strdup(vm->domain);
		runner->partner = g_strdup(vm->partner);
		runner->deployment = g_strdup(vm->deployment);
		runner->is_service = is_service(vm);
		g_hash_table_insert(set->by_address, runner->address, runner);
	}
	runner->state =
		strcmp(vm->state, "live") == 0 ? RUNNER_LIVE : RUNNER_DRAINING;
}

static gboolean is_unlisted_and_idle(void *key, void *value, void *listed)
{
	runner_t *runner = value;

	if (g_hash_table_contains(listed, key))
		return FALSE;
	runner->state = RUNNER_DRAINING;
	return runner->in_flight == 0;
}

void runner_set_update(runner_set_t *set, const GArray *vms)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < vms->len; i++) {
		const platform_vm_t *vm = &g_array_index(vms, platform_vm_t, i);

		if (strcmp(vm->role, "entry") == 0)
			continue;
		add_or_update(set, vm);
		g_hash_table_add(listed, vm->address);
	}
	g_hash_table_foreach_remove(set->by_address, is_unlisted_and_idle,
				    listed);
	g_hash_table_destroy(listed);
}

const GPtrArray *runner_set_find(runner_set_t *set, const char *partner,
				 const char *deployment, bool is_service)
{
	GHashTableIter iter;
	void *value;

	g_ptr_array_set_size(set->found, 0);
	g_hash_table_iter_init(&iter, set->by_address);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		runner_t *runner = value;

		if (runner->state == RUNNER_LIVE &&
		    runner->is_service == is_service &&
		    strcmp(runner->partner, partner) == 0 &&
		    strcmp(runner->deployment, deployment) == 0)
			g_ptr_array_add(set->found, runner);
	}
	return set->found;
}

const GPtrArray *runner_set_engines(runner_set_t *set)
{
	GHashTableIter iter;
	void *value;

	g_ptr_array_set_size(set->found, 0);
	g_hash_table_iter_init(&iter, set->by_address);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		runner_t *runner = value;

		if (runner->state == RUNNER_LIVE && !runner->is_service)
			g_ptr_array_add(set->found, runner);
	}
	return set->found;
}

uint32_t runner_set_size(const runner_set_t *set)
{
	return g_hash_table_size(set->by_address);
}
