#ifndef WASABILINK_EMULATOR_STANDIN_STATS_H
#define WASABILINK_EMULATOR_STANDIN_STATS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * standin_stats - admitted calls of the platform stand-in by kind, with the
 * highest number within one second.
 */
typedef enum standin_kind {
	STANDIN_GET,
	STANDIN_LIST,
	STANDIN_WATCH,
	STANDIN_VMS,
	STANDIN_PUT,
	STANDIN_DELETE,
	STANDIN_KINDS
} standin_kind_t;

typedef struct standin_count {
	int64_t total;
	int64_t peak_per_s;
	int64_t second_start_ms;
	int64_t in_second;
} standin_count_t;

typedef struct standin_stats {
	standin_count_t kinds[STANDIN_KINDS];
	standin_count_t reads;
	standin_count_t writes;
	int64_t over_rate; /* answered 429 */
	int64_t in_outage; /* answered 503 */
	int64_t blocked; /* not answered */
} standin_stats_t;

bool standin_kind_is_write(standin_kind_t kind);
void standin_stats_add(standin_stats_t *stats, standin_kind_t kind);
/* The answer to GET /stats; a new reference. */
json_t *standin_stats_json(const standin_stats_t *stats, uint64_t revision,
			   int64_t waiting_watches);

#endif
