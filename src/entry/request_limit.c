#include "entry/request_limit.h"

#include <glib.h>

static limiter_rule_t make_rule(const char *key,
				const document_limits_t *limits)
{
	return (limiter_rule_t){ key, limits->max_concurrent,
				 limits->tokens_per_minute };
}

bool request_limit_acquire(limiter_t *limiter, const document_caller_t *caller,
			   const document_deployment_t *deployment,
			   int64_t tokens, limiter_hold_t *hold,
			   request_limit_denial_t *denial)
{
	static const char *const messages[LIMITER_MAX_SCOPES] = {
		"the partner's limit is reached",
		"the caller's limit is reached",
		"the deployment's limit is reached"
	};
	const char *partner = caller->partner->name;
	char *keys[LIMITER_MAX_SCOPES] = {
		g_strconcat("p/", partner, NULL),
		g_strconcat("c/", partner, "/", caller->name, NULL),
		deployment ? g_strconcat("d/", partner, "/", deployment->name,
					 NULL) :
			     NULL,
	};
	limiter_rule_t rules[LIMITER_MAX_SCOPES];
	int64_t retry_after_ms = 0;
	uint32_t count = 0;
	int denied;

	rules[count++] = make_rule(keys[0], &caller->partner->limits);
	rules[count++] = make_rule(keys[1], &caller->limits);
	if (deployment)
		rules[count++] = make_rule(keys[2], &deployment->limits);
	denied = limiter_acquire(limiter, rules, count, tokens, hold,
				 &retry_after_ms);
	for (int i = 0; i < LIMITER_MAX_SCOPES; i++)
		g_free(keys[i]);
	if (denied < 0)
		return true;
	denial->retry_after_s = (int)((retry_after_ms + 999) / 1000);
	denial->message = messages[denied];
	return false;
}
