#ifndef WASABILINK_COORD_HEDGE_H
#define WASABILINK_COORD_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * hedge - when to send a second try of a request that has no first token yet
 * (Dean and Barroso, "The Tail at Scale", 2013).
 *
 * The delay is the p95 of recent first tokens, and at most a few times their
 * median: with several slow runners the p95 itself becomes slow. Classes keep
 * apart requests whose first answer takes a different time, such as streams
 * and whole answers of different length.
 */
#define HEDGE_CLASSES 20

typedef struct hedge hedge_t;

typedef struct hedge_options {
	double share; /* second tries per request, such as 0.05 */
	double burst; /* second tries that can be saved up */
	double initial; /* second tries at the start; 0: one */
	int64_t min_delay_us;
	int64_t initial_delay_us; /* while there are too few samples; 0: no
				   * second try then */
} hedge_options_t;

/* Class of a request: streams are one, whole answers go by their tokens. */
uint32_t hedge_class(bool stream, int64_t max_tokens);

hedge_t *hedge_new(const hedge_options_t *options);
void hedge_free(hedge_t *hedge);

/* A request starts: adds its share to the budget. */
void hedge_request(hedge_t *hedge);
/* A first token, or the age of a first try that was given up. */
void hedge_sample(hedge_t *hedge, uint32_t class_index, int64_t first_us);
/* Time after which to hedge; 0: not at all. */
int64_t hedge_delay_us(const hedge_t *hedge, uint32_t class_index);
/* Takes one second try out of the budget. */
bool hedge_take(hedge_t *hedge);
/* Gives back a second try that was not sent. */
void hedge_return(hedge_t *hedge);

#endif
