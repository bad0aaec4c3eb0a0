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
 * chat_state - state of one chat completion in progress, shared by chat,
 * chat_response and chat_attempt.
 */
#define CHAT_MAX_ATTEMPTS 3
/* Retries after errors that the engine marked as not run; see docs/design.md,
 * "Refusals that ran nothing". */
#define CHAT_MAX_NOT_RUN_RETRIES 4
/* The first attempt and its hedge. */
#define CHAT_PARALLEL_ATTEMPTS 2

typedef struct chat chat_t;

/* One execution of a request at one engine. */
typedef struct chat_attempt {
	chat_t *chat;
	engine_call_t *call; /* NULL: not in flight */
	route_attempt_t route;
	const char *version; /* requested from the runner */
	int64_t started_us; /* by the part guard's clock */
	bool hedge;
} chat_attempt_t;

struct chat {
	entry_t *entry;
	http_exchange_t *exchange; /* NULL: completed or closed by the caller */
	document_t *document; /* owns caller and deployment */
	const document_caller_t *caller;
	const document_deployment_t *deployment;
	pool_t *pool;
	chat_request_t request;
	request_state_t state;
	claim_t *claim;
	limiter_hold_t hold;
	pool_waiter_t waiter;
	chat_attempt_t attempts[CHAT_PARALLEL_ATTEMPTS];
	const chat_attempt_t *winner; /* first attempt that produced a token */
	const route_runner_t *attempted_runners[CHAT_MAX_ATTEMPTS +
						CHAT_MAX_NOT_RUN_RETRIES + 1];
	uint32_t attempted_count;
	uint32_t not_run_count; /* attempts that ended in an error marked
				 * as not run */
	uint32_t sent_count; /* all attempts, also those refused for the
			      * version */
	char *body;
	size_t body_len;
	GString *recorded_events; /* stream of a request with a key */
	char *response; /* response that is being recorded */
	struct event *deadline_timer;
	struct event *hedge_timer;
	struct event *slow_timer; /* fires when the caller reads nothing */
	size_t slow_pending; /* unread bytes when slow_timer was armed */
	int64_t deadline_us;
	uint64_t number;
	uint64_t tokens;
	bool may_have_run;
	bool paused;
	bool unrecorded; /* the ledger was unavailable at the claim */
	bool stream_started;
};

void chat_state_set(chat_t *chat, request_state_t state);
void chat_state_timer_free(struct event **timer);
void chat_state_timer_start(chat_t *chat, struct event **timer,
			    event_callback_fn callback, int64_t wait_us);
bool chat_state_is_detached(const chat_t *chat);
/* Leaves the admission queue and releases the limits' concurrency and
 * tokens. */
void chat_state_release(chat_t *chat);
/* Cancels the attempts. The exchange must have been completed before, or
 * remains the caller's to complete. */
void chat_state_free(chat_t *chat);
/* Drops the exchange, which is completed or closed; the remaining work
 * continues without a caller. */
void chat_state_detach(chat_t *chat);
/* Closes the claim as not run, or as unknown if the work may have run. */
void chat_state_close_claim(chat_t *chat);
/* Returns the retry budget's key of partner, caller and deployment; the caller
 * releases it with g_free(). */
char *chat_state_budget_key(const chat_t *chat);
/* Both send the error to the caller and free the chat. */
void chat_state_fail_with_retry(chat_t *chat, api_error_id_t error,
				int retry_after_s, const char *message);
void chat_state_fail(chat_t *chat, api_error_id_t error, const char *message);
/* Refuses the request if this node hears nothing of the deployment's runners.
 * Returns whether it did; the chat is then freed. */
bool chat_state_refuse_cut_off(chat_t *chat);

#endif
