#include "entry/records_follow.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"

#define SCAN_TIMEOUT_MS 60000

/* Reads the records of one kind in a shard for one follower. */
typedef struct scan {
	records_t *records;
	location_t *location;
	follower_t *follower;
	uint64_t epoch;
	GHashTable *changed; /* keys whose changes were reported during
			      * the scan; the scan skips them */
} scan_t;

static void scan_start(records_t *records, location_t *location,
		       follower_t *follower);

static guint key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, LEDGER_KEY_BYTES) == 0;
}

static void scan_free(scan_t *scan)
{
	g_ptr_array_remove_fast(scan->records->scans, scan);
	g_hash_table_destroy(scan->changed);
	g_free(scan);
}

static void on_scanned(const GPtrArray *found, const GError *error,
		       void *user_data)
{
	scan_t *scan = user_data;
	bool still_owner = shard_is_owner(scan->location->shard) &&
			   shard_epoch(scan->location->shard) == scan->epoch;

	if (error && still_owner && !scan->records->releasing) {
		log_warn("ledger_scan_failed", "shard=%s error=%s",
			 scan->location->key,
			 error_name((error_code_t)error->code));
		scan_start(scan->records, scan->location, scan->follower);
	}
	for (guint i = 0; !error && still_owner && i < found->len; i++) {
		const ledger_record *record = found->pdata[i];
		record_t converted = records_state_to_record(record);

		if (!g_hash_table_contains(scan->changed, record->key))
			scan->follower->each(&converted,
					     scan->follower->user_data);
	}
	scan_free(scan);
}

static void scan_start(records_t *records, location_t *location,
		       follower_t *follower)
{
	scan_t *scan = g_new0(scan_t, 1);

	scan->records = records;
	scan->location = location;
	scan->follower = follower;
	scan->epoch = shard_epoch(location->shard);
	scan->changed =
		g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	g_ptr_array_add(records->scans, scan);
	shard_list(location->shard, (uint32_t)follower->kind,
		   records_state_now_ms(records) + SCAN_TIMEOUT_MS, on_scanned,
		   scan);
	records_state_schedule_step(records);
}

void records_follow(records_t *records, record_kind_t kind, record_each_t each,
		    void *user_data)
{
	follower_t *follower = g_new0(follower_t, 1);

	follower->kind = kind;
	follower->each = each;
	follower->user_data = user_data;
	g_ptr_array_add(records->followers, follower);
	for (uint32_t i = 0; i < records->shard_count; i++)
		if (shard_is_owner(records->locations[i].shard))
			scan_start(records, &records->locations[i], follower);
}

void records_follow_changed(shard_t *shard, const ledger_record *record,
			    void *user_data)
{
	location_t *location = user_data;
	records_t *records = location->records;
	record_t converted = records_state_to_record(record);

	for (guint i = 0; i < records->scans->len; i++) {
		scan_t *scan = records->scans->pdata[i];

		if (scan->location == location)
			g_hash_table_add(
				scan->changed,
				g_memdup2(record->key, LEDGER_KEY_BYTES));
	}
	for (guint i = 0; i < records->followers->len; i++) {
		follower_t *follower = records->followers->pdata[i];

		if ((uint32_t)follower->kind == record->kind)
			follower->each(&converted, follower->user_data);
	}
}

void records_follow_event(shard_t *shard, shard_event_t event, void *user_data)
{
	location_t *location = user_data;
	records_t *records = location->records;
	bool gained = event == SHARD_ACQUIRED;
	bool lost = event == SHARD_LOST || event == SHARD_RELEASED;

	log_write(event == SHARD_BROKEN ? LOG_LEVEL_ERROR : LOG_LEVEL_INFO,
		  shard_event_name(event),
		  "shard=%u epoch=%" PRIu64 " owner=%s", shard_number(shard),
		  shard_epoch(shard),
		  shard_owner(shard) ? shard_owner(shard) : "-");
	for (guint i = 0; i < records->followers->len; i++) {
		follower_t *follower = records->followers->pdata[i];

		if (gained)
			scan_start(records, location, follower);
		else if (lost)
			follower->each(NULL, follower->user_data);
	}
}
