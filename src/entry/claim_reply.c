#include "entry/claim_reply.h"

#include "entry/api_error.h"

static const struct {
	api_error_id_t error;
	work_state_t work;
	const char *message;
} refusals[CLAIM_RESPONSE_COUNT] = {
	[CLAIM_RUNNING] = { API_IN_PROGRESS, WORK_MAY_HAVE_RUN,
			    "a request with this Idempotency-Key is running" },
	[CLAIM_CONFLICT] = { API_IDEMPOTENCY_CONFLICT, WORK_NOT_RUN,
			     "this Idempotency-Key was used with another "
			     "request" },
	[CLAIM_UNKNOWN] = { API_OUTCOME_UNKNOWN, WORK_MAY_HAVE_RUN,
			    "the request with this Idempotency-Key may have run; its result is lost" },
	[CLAIM_UNAVAILABLE] = { API_LEDGER_UNAVAILABLE, WORK_NOT_RUN,
				"a request that may run only once cannot be recorded now" },
};

void claim_reply_refusal(http_exchange_t *exchange, claim_response_t response)
{
	api_error_reply(exchange, refusals[response].error,
			refusals[response].work, 0, refusals[response].message);
}

void claim_reply_result(http_exchange_t *exchange, const claim_result_t *result)
{
	if (result->body_omitted)
		api_error_reply(exchange, API_RESULT_NOT_KEPT, WORK_RAN, 0,
				"the request ran; its result was too large to "
				"be kept");
	else
		http_reply(exchange, result->status, result->content_type,
			   result->body, result->body_len);
}
