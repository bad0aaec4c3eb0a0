#include <string.h>

#include "base/log.h"
#include "gateway/fleet_state.h"

static void replace_string(char **target, const char *value)
{
	if (g_strcmp0(*target, value) == 0)
		return;
	g_free(*target);
	*target = g_strdup(value);
}

static uint64_t version_key(const fleet_entry_t *entry)
{
	char *text = g_strconcat(entry->service, "\n",
				 entry->version ? entry->version : "", NULL);
	uint64_t key = fleet_key(text);

	g_free(text);
	return key ? key : 1;
}

static service_versions_t *find_or_add_versions(fleet_t *fleet,
						const char *service)
{
	service_versions_t *versions =
		g_hash_table_lookup(fleet->versions, service);

	if (!versions) {
		versions = g_new0(service_versions_t, 1);
		versions->mixed_us = fleet->created_us;
		g_hash_table_insert(fleet->versions, g_strdup(service),
				    versions);
	}
	return versions;
}

static bool has_other_version(const fleet_t *fleet,
			      const fleet_runner_t *runner)
{
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *other = fleet->listed->pdata[i];

		if (other->version_key != runner->version_key &&
		    strcmp(other->service, runner->service) == 0)
			return true;
	}
	return false;
}

/* Remembers when a service was last known to have or to change versions. */
static void note_version(fleet_t *fleet, const fleet_runner_t *runner)
{
	service_versions_t *versions =
		find_or_add_versions(fleet, runner->service);

	if ((versions->last && versions->last != runner->version_key) ||
	    has_other_version(fleet, runner))
		versions->mixed_us = clock_now_us(fleet->clock);
	versions->last = runner->version_key;
}

static void unlist(fleet_t *fleet, fleet_runner_t *runner)
{
	note_version(fleet, runner);
	runner->listed = false;
	runner->draining = true;
	g_hash_table_remove(fleet->by_key, &runner->key);
	g_ptr_array_remove_fast(fleet->listed, runner);
}

static fleet_runner_t *runner_add(fleet_t *fleet, const fleet_entry_t *entry)
{
	fleet_runner_t *runner = g_new0(fleet_runner_t, 1);

	runner->id = g_strdup(entry->id);
	runner->key = fleet_key(entry->id);
	runner->started_ms = entry->started_ms;
	runner->slowness_percent = 100;
	runner->listed = true;
	runner->refs = 1;
	g_hash_table_insert(fleet->by_key, &runner->key, runner);
	g_ptr_array_add(fleet->listed, runner);
	return runner;
}

void fleet_update(fleet_t *fleet, const fleet_entry_t *entry)
{
	fleet_runner_t *runner = fleet_find(fleet, fleet_key(entry->id));

	/* A restarted runner with the same id has none of the requests of the
	 * process before. */
	if (runner && runner->started_ms < entry->started_ms) {
		unlist(fleet, runner);
		runner = NULL;
	}
	if (!runner)
		runner = runner_add(fleet, entry);
	replace_string(&runner->address, entry->address);
	replace_string(&runner->service, entry->service);
	replace_string(&runner->domain, entry->domain);
	replace_string(&runner->version, entry->version);
	runner->version_key = version_key(entry);
	note_version(fleet, runner);
	runner->domain_state = fleet_find_or_add_domain(fleet, runner->domain);
	runner->slots = entry->slots;
	runner->draining = entry->draining || runner->leaving;
	runner->remove_at_us = 0;
}

void fleet_schedule_removal(fleet_t *fleet, const char *id, int64_t until_us)
{
	fleet_runner_t *runner = fleet_find(fleet, fleet_key(id));

	if (!runner)
		return;
	if (runner->draining)
		unlist(fleet, runner);
	else
		runner->remove_at_us = until_us;
}

void fleet_remove_expired(fleet_t *fleet)
{
	int64_t now_us = clock_now_us(fleet->clock);

	for (guint i = fleet->listed->len; i-- > 0;) {
		fleet_runner_t *runner = fleet->listed->pdata[i];

		if (runner->remove_at_us && now_us >= runner->remove_at_us)
			unlist(fleet, runner);
	}
}

const char *fleet_service_of_version(const fleet_t *fleet, uint64_t version_key)
{
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (runner->version_key == version_key && !runner->draining)
			return runner->service;
	}
	return NULL;
}

uint64_t fleet_sole_version(const fleet_t *fleet, const char *service,
			    int64_t for_us)
{
	const service_versions_t *versions =
		service ? g_hash_table_lookup(fleet->versions, service) : NULL;
	uint64_t version = 0;

	if (!versions ||
	    clock_now_us(fleet->clock) - versions->mixed_us < for_us)
		return 0;
	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		if (strcmp(runner->service, service) != 0)
			continue;
		if (version && version != runner->version_key)
			return 0;
		version = runner->version_key;
	}
	return version;
}
