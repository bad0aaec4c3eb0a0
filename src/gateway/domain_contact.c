#include "gateway/domain_contact.h"

/* A single runner may have crashed. */
#define FAILURES_TO_AVOID 2
/* Failures further apart are more likely of single runners. */
#define FAILURE_SPAN_MS 1000
/* Partitions last seconds; each try costs a request its connect time. */
#define PAUSE_FIRST_MS 500
#define PAUSE_MAX_MS 2000
/* A try that is under way has its result by then. */
#define TRY_MS 400

bool domain_contact_failed(domain_contact_t *contact, uint64_t runner,
			   int64_t now_us)
{
	bool was_avoided = contact->avoid_until_us != 0;

	if (now_us - contact->failed_us > FAILURE_SPAN_MS * 1000 &&
	    !was_avoided)
		contact->failures = 0;
	if (contact->failures == 0 || contact->failed_runner != runner)
		contact->failures++;
	contact->failed_runner = runner;
	contact->failed_us = now_us;
	if (contact->failures < FAILURES_TO_AVOID)
		return false;
	contact->pause_ms =
		was_avoided ? contact->pause_ms * 2 : PAUSE_FIRST_MS;
	if (contact->pause_ms > PAUSE_MAX_MS)
		contact->pause_ms = PAUSE_MAX_MS;
	contact->avoid_until_us = now_us + contact->pause_ms * 1000;
	return !was_avoided;
}

bool domain_contact_answered(domain_contact_t *contact)
{
	bool was_avoided = contact->avoid_until_us != 0;

	contact->failures = 0;
	contact->avoid_until_us = 0;
	return was_avoided;
}

void domain_contact_tried(domain_contact_t *contact, int64_t now_us)
{
	if (contact->avoid_until_us && now_us >= contact->avoid_until_us)
		contact->avoid_until_us = now_us + TRY_MS * 1000;
}

bool domain_contact_is_avoided(const domain_contact_t *contact, int64_t now_us)
{
	return now_us < contact->avoid_until_us;
}
