#ifndef WASABILINK_ENTRY_CLAIM_REPLY_H
#define WASABILINK_ENTRY_CLAIM_REPLY_H

#include "entry/claim.h"
#include "http/http_server.h"

/* claim_reply - answers to requests whose claim was not granted. */

/* Answers for every answer but GRANTED and DONE. */
void claim_reply_refusal(http_exchange_t *exchange, claim_answer_t answer);
/* Answers with a recorded result as it is. */
void claim_reply_result(http_exchange_t *exchange,
			const claim_result_t *result);

#endif
