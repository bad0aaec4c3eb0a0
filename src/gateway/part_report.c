#include "gateway/part_report.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "rpc/part_xdr.h"

G_STATIC_ASSERT(PART_NEWS_CRASHES_MAX == PART_CRASHES_MAX);
G_STATIC_ASSERT(PART_NEWS_CLEARS_MAX == PART_CLEARS_MAX);
G_STATIC_ASSERT(PART_NEWS_HOLDS_MAX == PART_HOLDS_MAX);
G_STATIC_ASSERT(CRASH_SUSPECTS_MAX == PART_SUSPECTS_MAX);

static u_int age_ms(int64_t now_us, int64_t at_us)
{
	return (u_int)(MAX(now_us - at_us, 0) / 1000);
}

size_t part_report_encode(const part_news_t *news, int64_t now_us, char *data,
			  size_t size)
{
	part_suspect_entry suspects[PART_CRASHES_MAX][PART_SUSPECTS_MAX];
	part_crash_entry crashes[PART_CRASHES_MAX];
	part_clear_entry clears[PART_CLEARS_MAX];
	part_hold_entry holds[PART_HOLDS_MAX];
	part_report report = {
		.magic = PART_REPORT_MAGIC,
		.crashes = { news->crashes_count, crashes },
		.clears = { news->clears_count, clears },
		.holds = { news->holds_count, holds },
	};
	size_t len = 0;
	XDR xdrs;

	for (uint32_t i = 0; i < news->crashes_count; i++) {
		const crash_t *crash = &news->crashes[i];

		crashes[i] = (part_crash_entry){
			.runner = crash->runner,
			.age_ms = age_ms(now_us, crash->at_us),
			.survived = crash->survived,
			.suspects = { crash->count, suspects[i] },
		};
		for (uint32_t j = 0; j < crash->count; j++)
			suspects[i][j] = (part_suspect_entry){
				crash->suspects[j].part,
				crash->suspects[j].depth,
				crash->suspects[j].running
			};
	}
	for (uint32_t i = 0; i < news->clears_count; i++)
		clears[i] = (part_clear_entry){ news->clears[i].part,
						age_ms(now_us,
						       news->clears[i].at_us) };
	for (uint32_t i = 0; i < news->holds_count; i++)
		holds[i] = (part_hold_entry){
			.part = news->holds[i].part,
			.depth = news->holds[i].depth,
			.crashes = news->holds[i].crashes,
			.doublings = news->holds[i].doublings,
			.crash_age_ms =
				age_ms(now_us, news->holds[i].last_crash_us),
			.remaining_ms = age_ms(news->holds[i].until_us, now_us),
		};
	xdrmem_create(&xdrs, data, (u_int)size, XDR_ENCODE);
	if (xdr_part_report(&xdrs, &report))
		len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return len;
}

bool part_report_is(const char *data, size_t len)
{
	uint32_t magic;

	if (len < sizeof(magic))
		return false;
	memcpy(&magic, data, sizeof(magic));
	return ntohl(magic) == PART_REPORT_MAGIC;
}

static void convert(const part_report *report, int64_t now_us,
		    part_news_t *news)
{
	memset(news, 0, sizeof(*news));
	for (u_int i = 0; i < report->crashes.crashes_len; i++) {
		const part_crash_entry *entry = &report->crashes.crashes_val[i];
		crash_t *crash = &news->crashes[news->crashes_count++];

		crash->runner = entry->runner;
		crash->at_us = now_us - entry->age_ms * 1000LL;
		crash->survived = entry->survived;
		for (u_int j = 0; j < entry->suspects.suspects_len; j++) {
			const part_suspect_entry *suspect =
				&entry->suspects.suspects_val[j];

			crash->suspects[crash->count++] = (crash_suspect_t){
				.part = suspect->part,
				.depth = suspect->depth,
				.running = suspect->running,
			};
		}
	}
	for (u_int i = 0; i < report->clears.clears_len; i++) {
		const part_clear_entry *entry = &report->clears.clears_val[i];

		news->clears[news->clears_count++] =
			(part_clear_t){ entry->part,
					now_us - entry->age_ms * 1000LL };
	}
	for (u_int i = 0; i < report->holds.holds_len; i++) {
		const part_hold_entry *entry = &report->holds.holds_val[i];

		news->holds[news->holds_count++] = (part_hold_t){
			.part = entry->part,
			.depth = entry->depth,
			.crashes = entry->crashes,
			.doublings = entry->doublings,
			.last_crash_us = now_us - entry->crash_age_ms * 1000LL,
			.until_us = now_us + entry->remaining_ms * 1000LL,
		};
	}
}

bool part_report_decode(const char *data, size_t len, int64_t now_us,
			part_news_t *news)
{
	part_report report = { 0 };
	bool decoded;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	decoded = xdr_part_report(&xdrs, &report) &&
		  report.magic == PART_REPORT_MAGIC;
	if (decoded)
		convert(&report, now_us, news);
	xdr_destroy(&xdrs);
	xdr_free((xdrproc_t)xdr_part_report, &report);
	return decoded;
}
