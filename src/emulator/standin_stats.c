#include "emulator/standin_stats.h"

#include "base/clock.h"

static const char *const kind_names[STANDIN_KINDS] = {
	"get", "list", "watch", "vms", "put", "delete",
};

bool standin_kind_is_write(standin_kind_t kind)
{
	return kind == STANDIN_PUT || kind == STANDIN_DELETE;
}

static void count_add(standin_count_t *count, int64_t now_ms)
{
	count->total++;
	if (now_ms - count->second_start_ms >= 1000) {
		count->second_start_ms = now_ms;
		count->in_second = 0;
	}
	count->in_second++;
	if (count->in_second > count->peak_per_s)
		count->peak_per_s = count->in_second;
}

void standin_stats_add(standin_stats_t *stats, standin_kind_t kind)
{
	int64_t now_ms = clock_now_ms(clock_system());

	count_add(&stats->kinds[kind], now_ms);
	count_add(standin_kind_is_write(kind) ? &stats->writes : &stats->reads,
		  now_ms);
}

json_t *standin_stats_json(const standin_stats_t *stats, uint64_t revision,
			   int64_t waiting_watches)
{
	json_int_t rejected = stats->over_rate + stats->in_outage;
	json_t *kinds = json_object();

	for (int i = 0; i < STANDIN_KINDS; i++)
		json_object_set_new(
			kinds, kind_names[i],
			json_pack("{s:I, s:I}", "count",
				  (json_int_t)stats->kinds[i].total,
				  "peak_per_s",
				  (json_int_t)stats->kinds[i].peak_per_s));
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}",
		"writes", (json_int_t)stats->writes.total, "reads",
		(json_int_t)stats->reads.total, "watches",
		(json_int_t)stats->kinds[STANDIN_WATCH].total,
		"waiting_watches", (json_int_t)waiting_watches, "rejected",
		rejected, "over_rate", (json_int_t)stats->over_rate,
		"in_outage", (json_int_t)stats->in_outage, "blocked",
		(json_int_t)stats->blocked, "peak_writes_per_s",
		(json_int_t)stats->writes.peak_per_s, "peak_reads_per_s",
		(json_int_t)stats->reads.peak_per_s, "revision",
		(json_int_t)revision, "kinds", kinds);
}
