#ifndef WASABILINK_COORD_HEDGE_H
#define WASABILINK_COORD_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * hedge - decides when to send a second attempt of a request that has no first
 * token yet (Dean and Barroso, "The Tail at Scale", 2013).
 *
 * The delay is the p95 of recent times to first token, and at most a few times
 * their median, because with several slow runners the p95 itself becomes slow.
 * Classes separate requests whose first token takes different times, such as
 * streams and complete responses of different length.
 */
#define HEDGE_CLASSES 20

typedef struct hedge hedge_t;

typedef struct hedge_options {
	double share; /* hedges per request, such as 0.05 */
	double burst; /* most hedges that the budget can hold */
	double initial; /* budget at the start; 0: one hedge */
	int64_t min_delay_us;
	/* Delay while there are too few samples; 0: no hedge then. */
	int64_t initial_delay_us;
} hedge_options_t;

/* Returns the class of a request: all streams are one class, complete responses
 * are classed by their maximum number of tokens. */
uint32_t hedge_class(bool stream, int64_t max_tokens);

hedge_t *hedge_new(const hedge_options_t *options);
void hedge_free(hedge_t *hedge);

/* Adds the share of a new request to the budget. */
void hedge_deposit(hedge_t *hedge);
/* Records a time to first token, or the age of a first attempt that was
 * abandoned before it. */
void hedge_sample(hedge_t *hedge, uint32_t class_index, int64_t first_us);
/* Time after which to send a hedge; 0: never. */
int64_t hedge_delay_us(const hedge_t *hedge, uint32_t class_index);
/* Takes one hedge out of the budget; false when it is used up. */
bool hedge_take(hedge_t *hedge);
/* Puts a hedge that was not sent back into the budget. */
void hedge_return(hedge_t *hedge);

#endif
