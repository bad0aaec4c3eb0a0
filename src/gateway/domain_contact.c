#include "gateway/domain_contact.h"

/* One failure may be the crash of a single runner. */
#define FAILURES_TO_EJECT 2
/* Failures further apart are more likely crashes of single runners. */
#define FAILURE_SPAN_MS 1000
/* Network partitions last seconds, and a probe may cost a request its connect
 * timeout. */
#define EJECTION_FIRST_MS 500
#define EJECTION_MAX_MS 1000
/* A probe in flight has its result by then. */
#define PROBE_MS 400

bool domain_contact_is_witness(const domain_contact_t *contact, uint64_t runner)
{
	for (uint32_t i = 0; i < contact->witness_count; i++)
		if (contact->witnesses[i] == runner)
			return true;
	return false;
}

/* Returns whether the runner was none before. */
static bool add_witness(domain_contact_t *contact, uint64_t runner)
{
	if (contact->witness_count == DOMAIN_CONTACT_WITNESSES ||
	    domain_contact_is_witness(contact, runner))
		return false;
	contact->witnesses[contact->witness_count++] = runner;
	return true;
}

bool domain_contact_failed(domain_contact_t *contact, uint64_t runner,
			   int64_t now_us)
{
	bool was_ejected = contact->ejected_until_us != 0;
	bool is_new;

	if (now_us - contact->failed_us > FAILURE_SPAN_MS * 1000 &&
	    !was_ejected) {
		contact->failures = 0;
		contact->witness_count = 0;
	}
	if (contact->failures == 0)
		contact->first_failed_us = now_us;
	is_new = add_witness(contact, runner);
	if (contact->failures == 0 || contact->failed_runner != runner)
		contact->failures++;
	contact->failed_runner = runner;
	contact->failed_us = now_us;
	contact->probed_us = 0;
	/* The other runners are tried at once, then one from time to time. */
	contact->probe_at_us =
		is_new && contact->witness_count < DOMAIN_CONTACT_WITNESSES ?
			now_us :
			now_us + EJECTION_FIRST_MS * 1000;
	if (contact->failures < FAILURES_TO_EJECT)
		return false;
	contact->ejection_ms =
		was_ejected ? contact->ejection_ms * 2 : EJECTION_FIRST_MS;
	if (contact->ejection_ms > EJECTION_MAX_MS)
		contact->ejection_ms = EJECTION_MAX_MS;
	contact->ejected_until_us = now_us + contact->ejection_ms * 1000;
	if (contact->probe_at_us > now_us)
		contact->probe_at_us = contact->ejected_until_us;
	return !was_ejected;
}

void domain_contact_suspect(domain_contact_t *contact)
{
	contact->suspected = true;
}

bool domain_contact_answered(domain_contact_t *contact)
{
	bool was_ejected = contact->ejected_until_us != 0;

	contact->failures = 0;
	contact->witness_count = 0;
	contact->ejected_until_us = 0;
	contact->probed_us = 0;
	return was_ejected;
}

void domain_contact_probed(domain_contact_t *contact, int64_t now_us)
{
	if (contact->ejected_until_us && now_us >= contact->ejected_until_us)
		contact->ejected_until_us = now_us + PROBE_MS * 1000;
}

bool domain_contact_is_ejected(const domain_contact_t *contact, int64_t now_us)
{
	return now_us < contact->ejected_until_us;
}

bool domain_contact_wants_probe(domain_contact_t *contact, int64_t now_us)
{
	bool failed = contact->failures > 0 &&
		      now_us - contact->failed_us <= FAILURE_SPAN_MS * 1000;

	if (!contact->ejected_until_us && !failed && !contact->suspected)
		return false;
	if (((contact->ejected_until_us || failed) &&
	     now_us < contact->probe_at_us) ||
	    (contact->probed_us &&
	     now_us - contact->probed_us < PROBE_MS * 1000))
		return false;
	contact->suspected = false;
	contact->probed_us = now_us;
	domain_contact_probed(contact, now_us);
	return true;
}

bool domain_contact_is_lost(const domain_contact_t *contact)
{
	return contact->ejected_until_us != 0;
}
