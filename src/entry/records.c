#include "entry/records.h"

#include <stdarg.h>
#include <string.h>

#include "entry/records_call.h"
#include "entry/records_follow.h"
#include "entry/records_peer.h"
#include "entry/records_location.h"

#define STEP_PERIOD_MS 50
/* An update computes the weights of all members for each shard. */
#define CANDIDATE_PERIOD_MS 500
#define DEFAULT_TIMEOUT_MS 3000

static const char *const stat_names[] = {
	"ledger_head_writes_total",	 "ledger_other_writes_total",
	"ledger_updates_total",		 "ledger_largest_batch",
	"ledger_conflicts_total",	 "ledger_repeats_total",
	"ledger_refused_total",		 "ledger_unknown_total",
	"ledger_takeovers_total",	 "ledger_losses_total",
	"ledger_uncertain_writes_total", "ledger_store_failures_total",
	"ledger_segment_reads_total",	 "ledger_head_bytes_total",
	"ledger_orphans_total",
};

G_STATIC_ASSERT(sizeof(shard_stats_t) ==
		G_N_ELEMENTS(stat_names) * sizeof(int64_t));

record_key_t record_key_make(const char *part, ...)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize len = sizeof(digest);
	record_key_t key;
	va_list parts;

	va_start(parts, part);
	for (; part; part = va_arg(parts, const char *)) {
		uint64_t size = GUINT64_TO_BE((uint64_t)strlen(part));

		g_checksum_update(checksum, (const guchar *)&size,
				  sizeof(size));
		g_checksum_update(checksum, (const guchar *)part,
				  (gssize)strlen(part));
	}
	va_end(parts);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
	memcpy(key.bytes, digest, sizeof(key.bytes));
	return key;
}

void records_get_within(records_t *records, const record_key_t *key,
			int32_t timeout_ms, record_done_t done, void *user_data)
{
	ledger_record wanted = { .owner_tag = (char *)"" };

	memcpy(wanted.key, key->bytes, sizeof(wanted.key));
	records_call_start(records_call_new(records, &wanted, timeout_ms, done,
					    user_data));
}

void records_get(records_t *records, const record_key_t *key,
		 record_done_t done, void *user_data)
{
	records_get_within(records, key, records->options.timeout_ms, done,
			   user_data);
}

void records_update_within(records_t *records, const record_t *update,
			   int32_t timeout_ms, record_done_t done,
			   void *user_data)
{
	ledger_record record = records_state_from_record(update);
	call_t *call =
		records_call_new(records, &record, timeout_ms, done, user_data);
	uint64_t token[2] = { records->options.incarnation,
			      ++records->last_token };

	call->is_update = true;
	memcpy(call->token, token, sizeof(call->token));
	records_call_start(call);
}

void records_update(records_t *records, const record_t *update,
		    record_done_t done, void *user_data)
{
	records_update_within(records, update, records->options.timeout_ms,
			      done, user_data);
}

uint32_t records_shard(const records_t *records, const record_key_t *key)
{
	return shard_number(records_location_of(records, key->bytes)->shard);
}

gboolean records_is_owner(const records_t *records, const record_key_t *key)
{
	return shard_is_owner(records_location_of(records, key->bytes)->shard);
}

gboolean records_has_lease(const records_t *records, const record_key_t *key)
{
	return shard_has_lease(records_location_of(records, key->bytes)->shard);
}

const char *records_owner_address(const records_t *records,
				  const record_key_t *key)
{
	const char *target = records_location_target(
		records_location_of(records, key->bytes));

	return target ? target : records_state_own_address(records);
}

uint64_t records_epoch(const records_t *records, const record_key_t *key)
{
	return shard_epoch(records_location_of(records, key->bytes)->shard);
}

static void update_candidates(records_t *records)
{
	bool may_own = !records->releasing;

	records->candidates_updated_ms = records_state_now_ms(records);
	placement_update(records->placement);
	for (uint32_t i = 0; i < records->shard_count; i++) {
		location_t *location = &records->locations[i];

		location->candidate =
			may_own && placement_is_own(records->placement, i);
		shard_set_candidate(location->shard, location->candidate);
		shard_set_standby(
			location->shard,
			may_own && placement_is_standby(records->placement, i));
	}
}

bool records_has_shards(const records_t *records)
{
	for (uint32_t i = 0; i < records->shard_count; i++)
		if (shard_is_owner(records->locations[i].shard) ||
		    placement_is_own(records->placement, i) ||
		    placement_is_standby(records->placement, i))
			return true;
	return false;
}

static void publish_counters(records_t *records)
{
	const int64_t *values = (const int64_t *)(const void *)&records->stats;

	for (size_t i = 0; i < G_N_ELEMENTS(stat_names); i++)
		*records->counters[i] = values[i];
	*records->owned = 0;
	*records->waiting = 0;
	for (uint32_t i = 0; i < records->shard_count; i++) {
		*records->owned += shard_is_owner(records->locations[i].shard);
		*records->waiting += shard_waiting(records->locations[i].shard);
	}
}

static void step(records_t *records)
{
	for (uint32_t i = 0; i < records->shard_count; i++)
		shard_step(records->locations[i].shard);
}

static void on_step_event(evutil_socket_t fd, short events, void *arg)
{
	step(arg);
}

static void on_step_timer(evutil_socket_t fd, short events, void *arg)
{
	records_t *records = arg;
	struct timeval period = { 0, STEP_PERIOD_MS * 1000 };

	if (records_state_now_ms(records) - records->candidates_updated_ms >=
	    CANDIDATE_PERIOD_MS)
		update_candidates(records);
	step(records);
	publish_counters(records);
	evtimer_add(records->step_timer, &period);
}

void records_release(records_t *records)
{
	records->releasing = true;
	for (uint32_t i = 0; i < records->shard_count; i++)
		shard_release(records->locations[i].shard);
	records_state_schedule_step(records);
}

bool records_is_released(const records_t *records)
{
	for (uint32_t i = 0; i < records->shard_count; i++)
		if (!shard_is_released(records->locations[i].shard))
			return false;
	return true;
}

static void create_counters(records_t *records)
{
	counter_set_t *set = records->options.counters;

	records->counters = g_new0(int64_t *, G_N_ELEMENTS(stat_names));
	for (size_t i = 0; i < G_N_ELEMENTS(stat_names); i++)
		records->counters[i] =
			counter_get(set,
				    g_str_has_suffix(stat_names[i], "_total") ?
					    COUNTER_MONOTONIC :
					    COUNTER_GAUGE,
				    stat_names[i], NULL);
	records->owned =
		counter_get(set, COUNTER_GAUGE, "ledger_shards_owned", NULL);
	records->waiting = counter_get(set, COUNTER_GAUGE,
				       "ledger_operations_waiting", NULL);
	records->forwarded = counter_get(set, COUNTER_MONOTONIC,
					 "ledger_forwarded_total", NULL);
}

static void create_locations(records_t *records)
{
	const records_options_t *options = &records->options;

	records->placement =
		placement_new(options->members, "shard/", records->shard_count);
	records->locations = g_new0(location_t, records->shard_count);
	for (uint32_t i = 0; i < records->shard_count; i++) {
		location_t *location = &records->locations[i];
		shard_options_t shard = {
			.store = options->store,
			.clock = options->clock,
			.number = i,
			.owner = records_state_own_address(records),
			.incarnation = options->incarnation,
			.budget = &records->budget,
			.stats = &records->stats,
			.observer = { records_follow_event,
				      records_follow_changed, location },
		};

		location->records = records;
		location->key = g_strdup_printf("shard/%u", i);
		location->shard = shard_new(&shard);
	}
}

records_t *records_new(const records_options_t *options)
{
	records_t *records = g_new0(records_t, 1);

	records->options = *options;
	if (!records->options.timeout_ms)
		records->options.timeout_ms = DEFAULT_TIMEOUT_MS;
	records->shard_count = options->shards;
	records->budget.writes_per_s = options->writes_per_s;
	records->calls =
		g_hash_table_new_full(NULL, NULL, records_call_free, NULL);
	records->followers = g_ptr_array_new_with_free_func(g_free);
	records->scans = g_ptr_array_new();
	records->step_timer =
		evtimer_new(options->base, on_step_timer, records);
	records->step_event =
		evtimer_new(options->base, on_step_event, records);
	create_counters(records);
	create_locations(records);
	if (options->rpc_server)
		records_peer_register(records);
	update_candidates(records);
	event_active(records->step_timer, EV_TIMEOUT, 0);
	return records;
}

/* shard_free() completes the calls, lists and scans that still wait in a shard
 * as refused. */
void records_free(records_t *records)
{
	GHashTableIter iter;
	void *key;

	if (!records)
		return;
	records->releasing = true;
	g_hash_table_iter_init(&iter, records->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		call_t *call = key;

		call->done = NULL;
		call->deadline_ms = 0;
	}
	for (uint32_t i = 0; i < records->shard_count; i++) {
		shard_free(records->locations[i].shard);
		g_free(records->locations[i].key);
		g_free(records->locations[i].hint);
		g_free(records->locations[i].failed_peer);
	}
	event_free(records->step_timer);
	event_free(records->step_event);
	g_hash_table_destroy(records->calls);
	g_ptr_array_free(records->followers, TRUE);
	g_ptr_array_free(records->scans, TRUE);
	g_free(records->counters);
	g_free(records->locations);
	placement_free(records->placement);
	g_free(records);
}
