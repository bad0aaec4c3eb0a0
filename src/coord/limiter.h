#ifndef WASABILINK_COORD_LIMITER_H
#define WASABILINK_COORD_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * limiter - limits on concurrent requests and on tokens per minute.
 *
 * A request is checked against several scopes at once (partner, caller,
 * deployment) and acquires from all of them or from none. The limits hold for
 * the whole system. Each of `nodes` entry nodes enforces an equal share, since
 * the load balancer spreads connections evenly.
 */
#define LIMITER_MAX_SCOPES 3

typedef struct limiter limiter_t;
typedef struct limiter_scope limiter_scope_t;

typedef struct limiter_rule {
	const char *key; /* unique across all kinds of scopes */
	int64_t max_concurrent; /* 0: unlimited */
	int64_t tokens_per_minute; /* 0: unlimited */
} limiter_rule_t;

/* What one request holds. */
typedef struct limiter_hold {
	limiter_scope_t *scopes[LIMITER_MAX_SCOPES];
	uint32_t count;
	int64_t tokens;
} limiter_hold_t;

limiter_t *limiter_new(const clock_source_t *clock);
void limiter_free(limiter_t *limiter);

void limiter_set_nodes(limiter_t *limiter, uint32_t nodes);

/*
 * Acquires one concurrent request and the estimated tokens in every scope. A
 * request with tokens 0 passes a scope whose tokens are overdrawn. Returns -1,
 * or the index of the first rule that denies the request; *retry_after_ms is
 * then the time after which to retry.
 */
int limiter_acquire(limiter_t *limiter, const limiter_rule_t *rules,
		    uint32_t count, int64_t tokens, limiter_hold_t *hold,
		    int64_t *retry_after_ms);
/* Releases the request in every scope and replaces the estimated tokens by the
 * number used. */
void limiter_release(limiter_hold_t *hold, int64_t used_tokens);

#endif
