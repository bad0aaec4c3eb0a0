#include "base/clock.h"

#include <time.h>

static int64_t read_clock_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static int64_t system_monotonic_us(const clock_source_t *clock)
{
	(void)clock;
	return read_clock_us(CLOCK_MONOTONIC);
}

static int64_t system_wall_ms(const clock_source_t *clock)
{
	(void)clock;
	return read_clock_us(CLOCK_REALTIME) / 1000;
}

static int64_t system_elapsed_us(const clock_source_t *clock)
{
	(void)clock;
	return read_clock_us(CLOCK_BOOTTIME);
}

static int64_t manual_monotonic_us(const clock_source_t *clock)
{
	return ((const clock_manual_t *)clock)->monotonic_us;
}

static int64_t manual_wall_ms(const clock_source_t *clock)
{
	return ((const clock_manual_t *)clock)->wall_ms;
}

static int64_t manual_elapsed_us(const clock_source_t *clock)
{
	const clock_manual_t *manual = (const clock_manual_t *)clock;

	return manual->monotonic_us + manual->suspended_us;
}

static const clock_ops_t system_ops = { system_monotonic_us, system_wall_ms,
					system_elapsed_us };
static const clock_ops_t manual_ops = { manual_monotonic_us, manual_wall_ms,
					manual_elapsed_us };
static const clock_source_t system_clock = { &system_ops };

const clock_source_t *clock_system(void)
{
	return &system_clock;
}

void clock_manual_init(clock_manual_t *manual, int64_t wall_ms)
{
	manual->base.ops = &manual_ops;
	manual->monotonic_us = 0;
	manual->suspended_us = 0;
	manual->wall_ms = wall_ms;
}

void clock_manual_advance_ms(clock_manual_t *manual, int64_t delta_ms)
{
	manual->monotonic_us += delta_ms * 1000;
	manual->wall_ms += delta_ms;
}

int64_t clock_now_us(const clock_source_t *clock)
{
	return clock->ops->monotonic_us(clock);
}

int64_t clock_now_ms(const clock_source_t *clock)
{
	return clock->ops->monotonic_us(clock) / 1000;
}

int64_t clock_elapsed_us(const clock_source_t *clock)
{
	return clock->ops->elapsed_us(clock);
}

int64_t clock_wall_ms(const clock_source_t *clock)
{
	return clock->ops->wall_ms(clock);
}
