#ifndef WASABILINK_ENTRY_REQUEST_LIMIT_H
#define WASABILINK_ENTRY_REQUEST_LIMIT_H

#include "config/document.h"
#include "coord/limiter.h"

/*
 * request_limit - acquires concurrency and tokens of a request within the
 * document's limits of its partner, caller and deployment.
 */
typedef struct request_limit_denial {
	int retry_after_s;
	const char *message;
} request_limit_denial_t;

/*
 * Acquires from all scopes, or from none: then returns false and fills
 * *denial. A call of a plain service has no deployment (NULL) and no tokens
 * (0).
 */
bool request_limit_acquire(limiter_t *limiter, const document_caller_t *caller,
			   const document_deployment_t *deployment,
			   int64_t tokens, limiter_hold_t *hold,
			   request_limit_denial_t *denial);

#endif
