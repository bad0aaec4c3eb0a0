#ifndef WASABILINK_ENTRY_CHAT_STATE_H
#define WASABILINK_ENTRY_CHAT_STATE_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/engine_client.h"
#include "coord/limiter.h"
#include "entry/api_error.h"
#include "entry/chat_request.h"
#include "entry/claim.h"
#include "entry/entry.h"
#include "entry/pool.h"
#include "entry/request_state.h"

/*
 * chat_state - one chat completion under way, shared by chat, chat_answer and
 * chat_try.
 */
#define CHAT_MAX_TRIES 3
/* Retries after errors that the engine marked as not run; see docs/design.md,
 * "Refusals that ran nothing". */
#define CHAT_MAX_NOT_RUN 4
/* The first try and its hedge. */
#define CHAT_PARALLEL_TRIES 2

typedef struct chat chat_t;

/* One call to an engine on behalf of a request. */
typedef struct chat_try {
	chat_t *chat;
	engine_call_t *call; /* NULL: not in use */
	route_call_t route;
	const char *version; /* that the runner was asked for */
	bool hedge;
} chat_try_t;

struct chat {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL: answered, or the caller has gone */
	document_t *document; /* keeps caller and deployment alive */
	const document_caller_t *caller;
	const document_deployment_t *deployment;
	pool_t *pool;
	chat_request_t request;
	request_state_t state;
	claim_t *claim;
	limiter_hold_t hold;
	pool_waiter_t waiter;
	chat_try_t tries[CHAT_PARALLEL_TRIES];
	const chat_try_t *winner; /* the first with a token */
	const route_runner_t *tried[CHAT_MAX_TRIES + CHAT_MAX_NOT_RUN + 1];
	uint32_t tried_count;
	uint32_t not_run_count; /* tries that ended in a marked error */
	uint32_t sent_count; /* tries with those refused for the version */
	char *body;
	size_t body_len;
	GString *record; /* events of a keyed stream */
	char *answer; /* whole answer that is being recorded */
	struct event *deadline_timer;
	struct event *hedge_timer;
	struct event *slow_timer; /* the caller takes no bytes */
	size_t slow_pending;
	int64_t deadline_us;
	uint64_t number;
	uint64_t tokens;
	bool may_have_run;
	bool paused;
	bool unrecorded; /* the ledger was not available at the start */
	bool stream_started;
};

void chat_state_set(chat_t *chat, request_state_t state);
void chat_state_timer_free(struct event **timer);
void chat_state_timer_start(chat_t *chat, struct event **timer,
			    event_callback_fn callback, int64_t wait_us);
bool chat_state_is_detached(const chat_t *chat);
/* Gives back the places in the queue and in the limits. */
void chat_state_release(chat_t *chat);
/* Cancels the tries; the exchange must have its answer, or be the caller's. */
void chat_state_free(chat_t *chat);
/* The answer is complete; the rest of the work goes on without a caller. */
void chat_state_detach(chat_t *chat);
/* Closes the claim by what is certain about the work. */
void chat_state_close_claim(chat_t *chat);
/* Key of the retry budget: partner, caller and deployment; newly allocated. */
char *chat_state_budget_key(const chat_t *chat);
/* Both answer with the error and free the chat. */
void chat_state_fail_with_retry(chat_t *chat, api_error_id_t error,
				int retry_after_s, const char *message);
void chat_state_fail(chat_t *chat, api_error_id_t error, const char *message);

#endif
