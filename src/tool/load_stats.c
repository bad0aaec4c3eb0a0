#include "tool/load_stats.h"

#include <inttypes.h>

static uint32_t bucket_of(int64_t us)
{
	uint64_t value = us > 0 ? (uint64_t)us : 0;
	uint32_t octave = 0;
	uint32_t bucket;

	while (value >= 2 * LOAD_SUB_BUCKETS) {
		value >>= 1;
		octave++;
	}
	/* Below two octaves the buckets are 1 us wide. */
	bucket = octave * LOAD_SUB_BUCKETS + (uint32_t)value;
	return bucket < LOAD_BUCKETS ? bucket : LOAD_BUCKETS - 1;
}

static int64_t bucket_end_us(uint32_t bucket)
{
	uint32_t octave;
	uint64_t value;

	if (bucket < 2 * LOAD_SUB_BUCKETS)
		return bucket;
	octave = bucket / LOAD_SUB_BUCKETS - 1;
	value = bucket - octave * LOAD_SUB_BUCKETS;
	return (int64_t)(((value + 1) << octave) - 1);
}

void load_histogram_add(load_histogram_t *histogram, int64_t us)
{
	histogram->total++;
	histogram->buckets[bucket_of(us)]++;
}

int64_t load_histogram_quantile(const load_histogram_t *histogram,
				double quantile)
{
	uint64_t seen = 0;
	double wanted = quantile * (double)histogram->total;

	if (histogram->total == 0)
		return 0;
	for (uint32_t i = 0; i < LOAD_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen > 0 && (double)seen >= wanted)
			return bucket_end_us(i);
	}
	return bucket_end_us(LOAD_BUCKETS - 1);
}

void load_stats_add_sent(load_stats_t *stats, int64_t value)
{
	stats->sent++;
}

void load_stats_add_resent(load_stats_t *stats, int64_t value)
{
	stats->resent++;
}

void load_stats_add_outcome(load_stats_t *stats, int64_t value)
{
	stats->outcomes[value]++;
}

void load_stats_add_events(load_stats_t *stats, int64_t value)
{
	stats->events_in_time += (uint64_t)value;
}

void load_stats_add_ok(load_stats_t *stats, int64_t value)
{
	stats->ok_in_time++;
}

void load_stats_add_first(load_stats_t *stats, int64_t value)
{
	load_histogram_add(&stats->first, value);
}

void load_stats_add_between(load_stats_t *stats, int64_t value)
{
	load_histogram_add(&stats->between, value);
}

void load_stats_add_whole(load_stats_t *stats, int64_t value)
{
	load_histogram_add(&stats->whole, value);
}

static void write_quantiles(const load_histogram_t *histogram,
			    const char *prefix, const char *name, FILE *out)
{
	static const struct {
		const char *name;
		double quantile;
	} quantiles[] = { { "p50", 0.5 },
			  { "p95", 0.95 },
			  { "p99", 0.99 },
			  { "p99.9", 0.999 } };

	if (histogram->total == 0)
		return;
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		fprintf(out, "%s%s_%s_ms=%.3f\n", prefix, name,
			quantiles[i].name,
			(double)load_histogram_quantile(histogram,
							quantiles[i].quantile) /
				1000);
}

void load_stats_write(const load_stats_t *stats, const char *prefix,
		      double seconds, FILE *out)
{
	static const char *const names[LOAD_OUTCOMES] = {
		"ok",	     "refused",	 "error", "cut",
		"timed_out", "not_sent", "wrong", "unfinished",
	};
	uint64_t failed = 0;

	fprintf(out, "%ssent=%" PRIu64 "\n%sresent=%" PRIu64 "\n", prefix,
		stats->sent, prefix, stats->resent);
	for (int i = 0; i < LOAD_OUTCOMES; i++) {
		fprintf(out, "%s%s=%" PRIu64 "\n", prefix, names[i],
			stats->outcomes[i]);
		if (i != LOAD_OK && i != LOAD_REFUSED)
			failed += stats->outcomes[i];
	}
	fprintf(out, "%sfailed=%" PRIu64 "\n", prefix, failed);
	fprintf(out, "%sok_per_s=%.1f\n%sevents_per_s=%.1f\n", prefix,
		(double)stats->ok_in_time / seconds, prefix,
		(double)stats->events_in_time / seconds);
	write_quantiles(&stats->first, prefix, "first_token", out);
	write_quantiles(&stats->between, prefix, "between_tokens", out);
	write_quantiles(&stats->whole, prefix, "total", out);
}
