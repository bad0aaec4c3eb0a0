#ifndef WASABILINK_GATEWAY_PART_REPORT_H
#define WASABILINK_GATEWAY_PART_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/part_guard.h"

/*
 * part_report - news about prompt parts as a datagram between nodes.
 *
 * Times travel as ages, since nodes have no common clock.
 */

/* Length in bytes of the largest report. */
#define PART_REPORT_MAX_BYTES 3072

/* Returns the length of the encoded news in bytes. */
size_t part_report_encode(const part_news_t *news, int64_t now_us, char *data,
			  size_t size);
/* Whether a datagram is such a report, by its first bytes. */
bool part_report_is(const char *data, size_t len);
/* Returns false when the report cannot be decoded. */
bool part_report_decode(const char *data, size_t len, int64_t now_us,
			part_news_t *news);

#endif
