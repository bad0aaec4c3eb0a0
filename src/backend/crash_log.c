#include "backend/crash_log.h"

#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

void crash_log_clear(crash_log_t *log)
{
	g_free(log->crashes);
	*log = (crash_log_t){ 0 };
}

static void remove_at(crash_log_t *log, uint32_t index)
{
	memmove(&log->crashes[index], &log->crashes[index + 1],
		(log->count - index - 1) * sizeof(log->crashes[0]));
	log->count--;
}

crash_t *crash_log_find(crash_log_t *log, uint64_t runner)
{
	for (uint32_t i = log->count; i-- > 0;)
		if (log->crashes[i].runner == runner)
			return &log->crashes[i];
	return NULL;
}

/* Returns the runner's entry that is nearest to the time, if it is of the same
 * crash, or NULL. Nodes also report crashes before the last one. */
static crash_t *find_at(crash_log_t *log, uint64_t runner, int64_t at_us)
{
	int64_t nearest_us = CRASH_RESTART_MIN_US;
	crash_t *nearest = NULL;

	for (uint32_t i = log->count; i-- > 0;) {
		int64_t apart_us = llabs(at_us - log->crashes[i].at_us);

		if (log->crashes[i].runner != runner || apart_us > nearest_us)
			continue;
		nearest_us = apart_us;
		nearest = &log->crashes[i];
	}
	return nearest;
}

/* Finds out which crashes of the runner are unproven. */
static void review(crash_log_t *log, uint64_t runner)
{
	const crash_t *before = NULL;

	for (uint32_t i = 0; i < log->count; i++) {
		crash_t *crash = &log->crashes[i];

		if (crash->runner != runner)
			continue;
		crash->unproven =
			before && !before->survived && !before->seen_after;
		before = crash;
	}
}

void crash_log_seen(crash_log_t *log, uint64_t runner, int64_t at_us)
{
	bool changed = false;

	for (uint32_t i = 0; i < log->count; i++) {
		crash_t *crash = &log->crashes[i];

		if (crash->runner != runner || crash->at_us >= at_us ||
		    crash->seen_after)
			continue;
		crash->seen_after = true;
		changed = true;
	}
	if (changed)
		review(log, runner);
}

static void remove_late_suspects(crash_t *crash)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < crash->count; i++)
		if (crash->suspects[i].begun_us <= crash->at_us)
			crash->suspects[kept++] = crash->suspects[i];
	crash->count = kept;
}

crash_t *crash_log_predate(crash_log_t *log, crash_t *crash, int64_t at_us)
{
	uint32_t index = (uint32_t)(crash - log->crashes);
	crash_t moved = *crash;

	moved.at_us = at_us;
	remove_late_suspects(&moved);
	for (; index > 0 && log->crashes[index - 1].at_us > at_us; index--)
		log->crashes[index] = log->crashes[index - 1];
	log->crashes[index] = moved;
	review(log, moved.runner);
	return &log->crashes[index];
}

void crash_log_survived(crash_log_t *log, crash_t *crash)
{
	crash->survived = true;
	review(log, crash->runner);
}

crash_t *crash_log_note(crash_log_t *log, uint64_t runner, int64_t at_us)
{
	crash_t *known = find_at(log, runner, at_us);
	uint32_t index;

	if (known)
		return known;
	if (!log->crashes)
		log->crashes = g_new0(crash_t, CRASH_LOG_MAX);
	if (log->count == CRASH_LOG_MAX)
		remove_at(log, 0);
	for (index = log->count;
	     index > 0 && log->crashes[index - 1].at_us > at_us; index--)
		;
	memmove(&log->crashes[index + 1], &log->crashes[index],
		(log->count - index) * sizeof(log->crashes[0]));
	log->count++;
	log->crashes[index] = (crash_t){ .runner = runner,
					 .at_us = at_us,
					 .own_links = true };
	review(log, runner);
	return &log->crashes[index];
}

void crash_log_expire(crash_log_t *log, int64_t before_us)
{
	while (log->count > 0 && log->crashes[0].at_us < before_us)
		remove_at(log, 0);
}

static crash_suspect_t *find_suspect(crash_t *crash, uint64_t part)
{
	for (uint32_t i = 0; i < crash->count; i++)
		if (crash->suspects[i].part == part)
			return &crash->suspects[i];
	return NULL;
}

const crash_suspect_t *crash_suspect(const crash_t *crash, uint64_t part)
{
	return find_suspect((crash_t *)crash, part);
}

/* Whether a suspect is kept when the entry is full. */
static bool is_important(const crash_suspect_t *suspect)
{
	return suspect->running || suspect->repeated;
}

bool crash_add_suspect(crash_t *crash, const crash_suspect_t *suspect)
{
	crash_suspect_t *known = find_suspect(crash, suspect->part);

	if (known) {
		bool changed = suspect->running && !known->running;

		known->running |= suspect->running;
		changed |= known->sent_again && !suspect->sent_again;
		known->sent_again &= suspect->sent_again;
		known->begun_us = MIN(known->begun_us, suspect->begun_us);
		known->sound |= suspect->sound;
		return changed;
	}
	if (crash->count < CRASH_SUSPECTS_MAX) {
		crash->suspects[crash->count++] = *suspect;
		return true;
	}
	if (!is_important(suspect))
		return false;
	for (uint32_t i = 0; i < crash->count; i++) {
		if (is_important(&crash->suspects[i]))
			continue;
		crash->suspects[i] = *suspect;
		return true;
	}
	return false;
}
