#ifndef WASABILINK_GATEWAY_DOMAIN_CONTACT_H
#define WASABILINK_GATEWAY_DOMAIN_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * domain_contact - whether the runners of another failure domain can be
 * reached.
 *
 * A connect to a runner behind a partition takes its whole time limit. Without
 * this, each of the domain's runners would cost some requests that time before
 * it is avoided. Two runners in a row that cannot be connected to stand for
 * their domain: it is avoided, and single requests try it again.
 *
 * Times are of the steady clock, in microseconds. All zero is a new contact.
 */
typedef struct domain_contact {
	uint32_t failures; /* of different runners, in a row */
	uint64_t failed_runner; /* key of the last one */
	int64_t failed_us;
	int64_t avoid_until_us; /* 0: not avoided */
	int64_t pause_ms; /* until the next try */
} domain_contact_t;

/* A runner could not be connected to. True: the domain is avoided from now. */
bool domain_contact_failed(domain_contact_t *contact, uint64_t runner,
			   int64_t now_us);
/* A runner answered. True: the domain is no longer avoided. */
bool domain_contact_answered(domain_contact_t *contact);
/* A request goes to a runner of the domain. */
void domain_contact_tried(domain_contact_t *contact, int64_t now_us);
bool domain_contact_is_avoided(const domain_contact_t *contact, int64_t now_us);

#endif
