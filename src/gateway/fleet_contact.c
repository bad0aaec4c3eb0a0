#include "base/log.h"
#include "gateway/fleet_state.h"

/* Whether the runner is expected to accept connections. */
static bool is_present(const fleet_runner_t *runner)
{
	return !runner->draining && !runner->remove_at_us;
}

/* Whether enough runners of the domain have failed to connect to rule out that
 * only these have ended. */
static bool is_certain(const fleet_t *fleet, const fleet_domain_t *domain)
{
	uint32_t needed = 0;

	for (guint i = 0;
	     i < fleet->listed->len && needed < DOMAIN_CONTACT_WITNESSES; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];

		needed += runner->domain_state == domain && is_present(runner);
	}
	return domain->contact.witness_count >= needed;
}

/* Another node stands in for lost contact. */
bool fleet_avoids_domain(const fleet_t *fleet, const fleet_domain_t *domain)
{
	if (domain->has_relay)
		return false;
	if (fleet->probed)
		return domain_contact_is_lost(&domain->contact) &&
		       is_certain(fleet, domain);
	return domain_contact_is_ejected(&domain->contact,
					 clock_now_us(fleet->clock));
}

void fleet_heard(fleet_t *fleet)
{
	fleet->heard_us = clock_now_us(fleet->clock);
}

bool fleet_is_silent(const fleet_t *fleet)
{
	return fleet->unreachable_us > fleet->heard_us;
}

void fleet_answered(fleet_t *fleet, fleet_runner_t *runner)
{
	fleet_heard(fleet);
	if (!domain_contact_answered(&runner->domain_state->contact))
		return;
	log_info("domain_back", "domain=%s local=%d runner=%s", runner->domain,
		 !fleet_is_remote(fleet, runner), runner->id);
	fleet_load_changed(fleet);
}

void fleet_each_lost_domain(const fleet_t *fleet, fleet_each_lost_t each,
			    void *user_data)
{
	GHashTableIter iter;
	void *name;
	void *domain;

	g_hash_table_iter_init(&iter, fleet->domains);
	while (g_hash_table_iter_next(&iter, &name, &domain))
		if (domain_contact_is_lost(
			    &((const fleet_domain_t *)domain)->contact))
			each(name, user_data);
}

static void update_relay(const fleet_t *fleet, const char *name,
			 fleet_domain_t *domain)
{
	domain->has_relay = fleet->has_relay &&
			    domain_contact_is_lost(&domain->contact) &&
			    fleet->has_relay(name, fleet->user_data);
}

void fleet_no_contact(fleet_t *fleet, const fleet_runner_t *runner)
{
	if (!domain_contact_failed(&runner->domain_state->contact, runner->key,
				   clock_now_us(fleet->clock)))
		return;
	log_warn("domain_lost",
		 "domain=%s local=%d runner=%s pause_ms=%" G_GINT64_FORMAT,
		 runner->domain, !fleet_is_remote(fleet, runner), runner->id,
		 runner->domain_state->contact.ejection_ms);
	update_relay(fleet, runner->domain, runner->domain_state);
	fleet_load_changed(fleet);
}

void fleet_connection_broke(fleet_t *fleet, const fleet_runner_t *runner)
{
	if (fleet->probed)
		domain_contact_suspect(&runner->domain_state->contact);
}

void fleet_unreachable(fleet_t *fleet, fleet_runner_t *runner)
{
	fleet_failed(fleet, runner);
	fleet->unreachable_us = clock_now_us(fleet->clock);
	fleet_no_contact(fleet, runner);
}

bool fleet_is_cut_off(const fleet_runner_t *runner)
{
	return domain_contact_is_lost(&runner->domain_state->contact);
}

int64_t fleet_unreachable_for_us(const fleet_t *fleet,
				 const fleet_runner_t *runner)
{
	const domain_contact_t *contact = &runner->domain_state->contact;

	if (!domain_contact_is_lost(contact) ||
	    !domain_contact_is_witness(contact, runner->key))
		return -1;
	return clock_now_us(fleet->clock) - contact->first_failed_us;
}

bool fleet_lost_local(const fleet_t *fleet)
{
	return domain_contact_is_lost(&fleet->local_domain->contact);
}

void fleet_update_relays(fleet_t *fleet)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, fleet->domains);
	while (g_hash_table_iter_next(&iter, &name, &value))
		update_relay(fleet, name, value);
}

/* A runner of the domain at random, rather one that has not failed. */
static const fleet_runner_t *draw_probe(fleet_t *fleet,
					const fleet_domain_t *domain)
{
	const fleet_runner_t *drawn = NULL;
	bool drawn_failed = true;
	uint32_t count = 0;

	for (guint i = 0; i < fleet->listed->len; i++) {
		const fleet_runner_t *runner = fleet->listed->pdata[i];
		bool failed = domain_contact_is_witness(&domain->contact,
							runner->key);

		if (runner->domain_state != domain || !is_present(runner) ||
		    (failed && !drawn_failed))
			continue;
		if (drawn_failed && !failed)
			count = 0;
		drawn_failed = failed;
		if (g_rand_double(fleet->random) * ++count < 1)
			drawn = runner;
	}
	return drawn;
}

const fleet_runner_t *fleet_next_probe(fleet_t *fleet)
{
	int64_t now_us = clock_now_us(fleet->clock);
	const fleet_runner_t *runner = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, fleet->domains);
	while (!runner && g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_domain_t *domain = value;

		if (!domain_contact_wants_probe(&domain->contact, now_us))
			continue;
		runner = draw_probe(fleet, domain);
		/* Its runners have left. */
		if (!runner)
			domain_contact_answered(&domain->contact);
	}
	return runner;
}
