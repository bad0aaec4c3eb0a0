#include "entry/store_probe.h"

#include "base/error.h"
#include "base/log.h"
#include "entry/membership.h"
#include "entry/records.h"

#define PROBE_PERIOD_MS 2000
#define UNREACHABLE_AFTER_MS 4000
/* Longer than UNREACHABLE_AFTER_MS: an intermittent path to the store must not
 * move shards each time it recovers. */
#define REACHABLE_AFTER_MS 6000

static const char probe_key[] = "probe";

struct store_probe {
	entry_t *entry;
	struct event *timer;
	int64_t since_ms; /* time of the first probe with the current result */
	bool answered; /* result of the last probe */
	bool announced_reachable; /* last state announced to the peers */
	bool in_flight;
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

static void on_probe_done(const object_value_t *value, const GError *error,
			  void *user_data)
{
	store_probe_t *probe = user_data;
	int64_t now_ms = clock_now_ms(probe->entry->clock);
	bool answered = is_answer(error);

	probe->in_flight = false;
	if (answered != probe->answered) {
		probe->answered = answered;
		probe->since_ms = now_ms;
	}
	if (answered == probe->announced_reachable ||
	    now_ms - probe->since_ms <
		    (answered ? REACHABLE_AFTER_MS : UNREACHABLE_AFTER_MS))
		return;
	probe->announced_reachable = answered;
	log_warn(answered ? "store_reached" : "store_not_reached",
		 "since_ms=%d", (int)(now_ms - probe->since_ms));
	membership_announce_store(probe->entry->membership, answered);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	store_probe_t *probe = arg;
	const struct timeval period = { PROBE_PERIOD_MS / 1000,
					PROBE_PERIOD_MS % 1000 * 1000 };

	evtimer_add(probe->timer, &period);
	if (probe->in_flight || (probe->announced_reachable &&
				 !records_has_shards(probe->entry->records)))
		return;
	probe->in_flight = true;
	object_get(probe->entry->store, probe_key, on_probe_done, probe);
}

store_probe_t *store_probe_new(entry_t *entry)
{
	store_probe_t *probe = g_new0(store_probe_t, 1);

	probe->entry = entry;
	probe->answered = true;
	probe->announced_reachable = true;
	probe->timer = evtimer_new(entry->base, on_timer, probe);
	on_timer(-1, 0, probe);
	return probe;
}
