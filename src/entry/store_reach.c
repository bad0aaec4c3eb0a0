#include "entry/store_reach.h"

#include "base/error.h"
#include "base/log.h"
#include "entry/membership.h"
#include "entry/records.h"

#define PROBE_MS 2000
#define LOST_MS 4000
/* A path that comes and goes must not move shards each time. */
#define BACK_MS 6000

static const char probe_key[] = "probe";

struct store_reach {
	entry_t *entry;
	struct event *timer;
	int64_t since_ms; /* of the first of the equal answers */
	bool answered; /* the last probe */
	bool reached; /* as told to the others */
	bool calling;
};

static bool is_answer(const GError *error)
{
	static const error_code_t codes[] = { WL_ERROR_NOT_FOUND,
					      WL_ERROR_UNAVAILABLE,
					      WL_ERROR_RATE_LIMITED };

	for (size_t i = 0; error && i < G_N_ELEMENTS(codes); i++)
		if (error->code == (int)codes[i])
			return true;
	return !error;
}

static void on_probed(const object_value_t *value, const GError *error,
		      void *user_data)
{
	store_reach_t *reach = user_data;
	int64_t now_ms = clock_now_ms(reach->entry->clock);
	bool answered = is_answer(error);

	reach->calling = false;
	if (answered != reach->answered) {
		reach->answered = answered;
		reach->since_ms = now_ms;
	}
	if (answered == reach->reached ||
	    now_ms - reach->since_ms < (answered ? BACK_MS : LOST_MS))
		return;
	reach->reached = answered;
	log_warn(answered ? "store_reached" : "store_not_reached",
		 "since_ms=%d", (int)(now_ms - reach->since_ms));
	membership_announce_store(reach->entry->membership, answered);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	store_reach_t *reach = arg;
	const struct timeval period = { PROBE_MS / 1000,
					PROBE_MS % 1000 * 1000 };

	evtimer_add(reach->timer, &period);
	if (reach->calling ||
	    (reach->reached && !records_has_shards(reach->entry->records)))
		return;
	reach->calling = true;
	object_get(reach->entry->store, probe_key, on_probed, reach);
}

store_reach_t *store_reach_new(entry_t *entry)
{
	store_reach_t *reach = g_new0(store_reach_t, 1);

	reach->entry = entry;
	reach->answered = true;
	reach->reached = true;
	reach->timer = evtimer_new(entry->base, on_timer, reach);
	on_timer(-1, 0, reach);
	return reach;
}
