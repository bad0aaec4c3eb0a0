#ifndef WASABILINK_TOOL_LOAD_STATS_H
#define WASABILINK_TOOL_LOAD_STATS_H

#include <stdint.h>
#include <stdio.h>

/*
 * load_stats - outcomes and latencies of a load run.
 *
 * Latencies go into log-linear histograms of 1 us to 2^36 us, whose buckets
 * are at most 1/64 of their value wide. base/histogram's 1/16 is too coarse to
 * compare latencies within a factor of 1.1.
 */
#define LOAD_SUB_BUCKETS 64
#define LOAD_OCTAVES 30
#define LOAD_BUCKETS (LOAD_SUB_BUCKETS * (LOAD_OCTAVES + 1))

typedef struct load_histogram {
	uint64_t total;
	uint32_t buckets[LOAD_BUCKETS];
} load_histogram_t;

void load_histogram_add(load_histogram_t *histogram, int64_t us);
/* Upper end in us of the bucket that holds the quantile (0..1); 0 if empty. */
int64_t load_histogram_quantile(const load_histogram_t *histogram,
				double quantile);

/* How a request ended. */
typedef enum load_outcome {
	LOAD_OK, /* whole answer */
	LOAD_REFUSED, /* 429 or 503 */
	LOAD_ERROR, /* any other status */
	LOAD_CUT, /* the connection broke or the answer has no end */
	LOAD_TIMED_OUT,
	LOAD_NOT_SENT, /* no connection */
	LOAD_WRONG, /* not the answer to this request */
	LOAD_UNFINISHED, /* still running at the end of the run */
	LOAD_OUTCOMES
} load_outcome_t;

/* One group of requests, such as all or the long ones. */
typedef struct load_stats {
	uint64_t sent;
	uint64_t resent;
	uint64_t outcomes[LOAD_OUTCOMES];
	/* Both within the counted time, whenever the request started. */
	uint64_t ok_in_time;
	uint64_t events_in_time;
	load_histogram_t first; /* arrival to first token */
	load_histogram_t between; /* between tokens */
	load_histogram_t whole; /* arrival to the end */
} load_stats_t;

/* Each counts one thing that happened; value is what its name says, a number
 * of events, a duration in us or a load_outcome_t. */
typedef void (*load_stats_add_t)(load_stats_t *stats, int64_t value);

void load_stats_add_sent(load_stats_t *stats, int64_t value);
void load_stats_add_resent(load_stats_t *stats, int64_t value);
void load_stats_add_outcome(load_stats_t *stats, int64_t value);
void load_stats_add_events(load_stats_t *stats, int64_t value);
void load_stats_add_ok(load_stats_t *stats, int64_t value);
void load_stats_add_first(load_stats_t *stats, int64_t value);
void load_stats_add_between(load_stats_t *stats, int64_t value);
void load_stats_add_whole(load_stats_t *stats, int64_t value);

/* Writes name=value lines; prefix is put before each name. */
void load_stats_write(const load_stats_t *stats, const char *prefix,
		      double seconds, FILE *out);

#endif
