#ifndef WASABILINK_ENTRY_CLAIM_REPLY_H
#define WASABILINK_ENTRY_CLAIM_REPLY_H

#include "entry/claim.h"
#include "http/http_server.h"

/* claim_reply - HTTP responses to requests whose claim was not granted. */

/* Sends the error for any claim response but CLAIM_GRANTED and CLAIM_DONE. */
void claim_reply_refusal(http_exchange_t *exchange, claim_response_t response);
/* Sends a recorded result unchanged. */
void claim_reply_result(http_exchange_t *exchange,
			const claim_result_t *result);

#endif
