#ifndef WASABILINK_GATEWAY_DOMAIN_CONTACT_H
#define WASABILINK_GATEWAY_DOMAIN_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * domain_contact - whether the runners of a failure domain are reachable.
 *
 * A connect to a runner behind a network partition takes its whole timeout. If
 * runners were ejected one by one, each of the domain's runners would cost some
 * requests that time. Therefore two different runners that fail to connect
 * in short succession, without an answer between them, eject their domain, and
 * single requests probe it.
 *
 * Times are monotonic, in microseconds. All zero is a new contact.
 */
#define DOMAIN_CONTACT_WITNESSES 3

typedef struct domain_contact {
	uint32_t failures; /* consecutive, of different runners */
	/* Keys of different runners that failed to connect since the last
	 * answer. */
	uint64_t witnesses[DOMAIN_CONTACT_WITNESSES];
	uint32_t witness_count;
	uint64_t failed_runner; /* key of the last one */
	int64_t failed_us;
	int64_t first_failed_us; /* of these failures */
	int64_t ejected_until_us; /* 0: not ejected */
	int64_t ejection_ms; /* until the next probe */
	int64_t probe_at_us; /* the next probe by connection */
	int64_t probed_us; /* time of the last one; 0: it has its result */
	bool suspected; /* a connection to a runner broke since then */
} domain_contact_t;

/* Records a failed connect to a runner. Returns true when this ejects the
 * domain. */
bool domain_contact_failed(domain_contact_t *contact, uint64_t runner,
			   int64_t now_us);
/* Records that a connection to a runner broke, which a lost path may explain. */
void domain_contact_suspect(domain_contact_t *contact);
/* Records an answer of a runner. Returns true when this ends an ejection. */
bool domain_contact_answered(domain_contact_t *contact);
/* Records that a request is sent to a runner of the domain; at the end of an
 * ejection this is the probe, and holds back others until it has a result. */
void domain_contact_probed(domain_contact_t *contact, int64_t now_us);
bool domain_contact_is_ejected(const domain_contact_t *contact, int64_t now_us);
/*
 * Whether a connection should be tried for a sign of contact: when a connection
 * broke, at once after each of the first failures, and then when a probe of a lost
 * domain is due. Records the probe; the result is recorded like that of a request.
 */
bool domain_contact_wants_probe(domain_contact_t *contact, int64_t now_us);
/* Whether the runner has failed to connect, and none has answered since. */
bool domain_contact_is_witness(const domain_contact_t *contact,
			       uint64_t runner);
/* Whether the domain was ejected and no runner of it has answered since. */
bool domain_contact_is_lost(const domain_contact_t *contact);

#endif
