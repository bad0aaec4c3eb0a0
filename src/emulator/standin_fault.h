#ifndef WASABILINK_EMULATOR_STANDIN_FAULT_H
#define WASABILINK_EMULATOR_STANDIN_FAULT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * standin_fault - rates and faults of the platform stand-in.
 *
 * POST /fault takes a JSON object; absent members keep their value:
 *   outage_ms       503 for this long; waiting watches end with 503, too
 *   delay_ms        every answer is this late
 *   slow_answers    probability that an answer is late by slow_answer_ms
 *   slow_answer_ms
 *   lose_answers    probability that the connection breaks instead of an
 *                   answer, after the call had its effect
 *   stale_watches   probability that a watch answers at once with older events
 *                   and an older revision
 *   writes_per_s, reads_per_s, list_lag_ms
 *   block           list that replaces the one before. A number blocks the
 *                   listen port of that number: its calls have no effect and
 *                   get no answer (a partition of the clients that use this
 *                   port). A string blocks writes whose X-Object-Writer begins
 *                   with it.
 */
typedef struct standin_rate {
	double per_s; /* 0: unlimited; else a token bucket of one second */
	double tokens;
	int64_t updated_us;
} standin_rate_t;

typedef struct standin_fault {
	GRand *random;
	standin_rate_t writes;
	standin_rate_t reads;
	int64_t outage_until_ms;
	int64_t delay_ms;
	int64_t slow_answer_ms;
	int64_t list_lag_ms;
	double slow_answers;
	double lose_answers;
	double stale_watches;
	GArray *blocked_ports; /* uint16_t */
	GPtrArray *blocked_writers; /* char * */
} standin_fault_t;

void standin_fault_init(standin_fault_t *fault, uint32_t seed,
			double writes_per_s, double reads_per_s);
void standin_fault_clear(standin_fault_t *fault);
/* Errors: WL_ERROR_INVALID; nothing is changed then. */
gboolean standin_fault_set(standin_fault_t *fault, const json_t *root,
			   GError **error);
bool standin_fault_outage(const standin_fault_t *fault);
/* writer may be NULL. */
bool standin_fault_blocked(const standin_fault_t *fault, uint16_t port,
			   const char *writer);
/* Delay of the next answer. */
int64_t standin_fault_delay_ms(standin_fault_t *fault);
bool standin_fault_draw(standin_fault_t *fault, double rate);
/* Takes one call from the rate; false above it. */
bool standin_rate_take(standin_rate_t *rate);

#endif
