#ifndef WASABILINK_TESTS_MODEL_STORE_H
#define WASABILINK_TESTS_MODEL_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "object/object_store.h"

/*
 * model_store - a metadata store in process that keeps its promises and nothing
 * more.
 *
 * Acknowledged writes are kept and reads are linearizable, unless the client is
 * a stale one. A call without an answer may have been executed, or is executed
 * seconds later if its condition still holds. A client whose weather asks for it
 * loses answers, is refused, or is served slowly, while others are served.
 * Nothing runs by itself: model_store_step() executes what is due, and
 * model_client_deliver() runs the completions of one client.
 */
typedef struct model_store model_store_t;
typedef struct model_client model_client_t;

typedef struct model_object {
	char *key;
	char *data;
	size_t len;
	char *writer;
	uint64_t version;
	int64_t written_us;
	bool removed; /* this version is its removal */
} model_object_t;

/* Parts of 100 of a client's calls; may change at any time. */
typedef struct model_weather {
	bool silent; /* calls have no answer until their time limit */
	int refused; /* 429 or 503: without effect */
	int lost_answer; /* executed, the answer is lost */
	int late_write; /* executed 1 to 6 s later */
	int lost_call; /* never executed */
	int watch_cut;
	int watch_silent;
	int32_t delay_ms; /* most, of the call and of its answer each */
	int32_t stale_ms; /* age of a stale answer, at most */
} model_weather_t;

typedef struct model_store_options {
	GRand *random;
	const int64_t *now_us;
	/* A write or removal took effect; former is NULL for a creation. */
	void (*written)(void *user_data, const model_object_t *object,
			const model_object_t *former);
	void *user_data;
} model_store_options_t;

model_store_t *model_store_new(const model_store_options_t *options);
void model_store_free(model_store_t *store);
/* The object as it is now, or NULL. */
const model_object_t *model_store_find(const model_store_t *store,
				       const char *key);
/* Discards the history up to now: watches from before are answered with
 * WL_ERROR_NOT_FOUND. */
void model_store_drop_history(model_store_t *store);
/* Executes the calls that are due. */
void model_store_step(model_store_t *store);

/* A client shares the weather of its node. stale: reads may be old. */
model_client_t *model_client_new(model_store_t *store,
				 const model_weather_t *weather, bool stale);
object_store_t *model_client_object(model_client_t *client);
/* Runs the completions that are due. */
void model_client_deliver(model_client_t *client);
/* Leaves the calls in progress, or the watches that wait, without an answer until
 * their time limit, as when the store falls silent for this client. */
void model_client_silence(model_client_t *client, bool watches_only);
/* Number of calls in progress. */
uint32_t model_client_calls(const model_client_t *client);
/* Is told of each call before it is sent; returns false when the process ends
 * with it, so that it is not sent. */
typedef bool (*model_call_hook_t)(void *user_data, const char *key, bool write);

void model_client_set_hook(model_client_t *client, model_call_hook_t hook,
			   void *user_data);
/* The process is gone: nothing is sent or completed any more. */
void model_client_close(model_client_t *client);
bool model_client_is_closed(const model_client_t *client);

#endif
