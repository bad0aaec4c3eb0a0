#ifndef WASABILINK_EMULATOR_ENGINE_FAULT_H
#define WASABILINK_EMULATOR_ENGINE_FAULT_H

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * engine_fault - faults of an emulator that POST /fault switches.
 *
 * Members of the JSON object; absent ones keep their value:
 *   slow_factor    at least 1: work takes this many times longer
 *   slow_ms        for this long; without it until the next change
 *   latency_ms     added before the work starts
 *   fail_rate      probability of a 500 answer before running, marked
 *                  X-Not-Run
 *   error_rate     probability of a 500 answer after the run was counted,
 *                  without the mark
 *   cut_rate       probability that the connection breaks in the answer
 *   stall_ms       for this long nothing is sent, connections stay open
 *   wrong_id_rate  probability that another request id is echoed
 *   drain          true: 503 for new requests and on /healthz
 *   exit           true: the process ends at once
 */
typedef struct engine_fault {
	GRand *random;
	double slow_factor;
	int64_t slow_until_ms;
	int64_t latency_ms;
	double fail_rate;
	double error_rate;
	double cut_rate;
	int64_t stall_until_ms;
	double wrong_id_rate;
	bool drain;
	bool exit;
} engine_fault_t;

void engine_fault_init(engine_fault_t *fault, uint32_t seed);
void engine_fault_clear(engine_fault_t *fault);
/* Returns FALSE when root is not an object. */
gboolean engine_fault_set(engine_fault_t *fault, const json_t *root);
/* Factor on the duration of work at this time. */
double engine_fault_factor(const engine_fault_t *fault);
/* Rest of a stall in ms; 0 when there is none. */
int64_t engine_fault_stall_ms(const engine_fault_t *fault);
/* Draws an outcome with the probability. */
bool engine_fault_draw(engine_fault_t *fault, double rate);
/* Ends the process after the answer in progress has been sent. */
void engine_fault_exit_soon(struct event_base *base);

#endif
