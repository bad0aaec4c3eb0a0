#ifndef WASABILINK_BASE_CLOCK_H
#define WASABILINK_BASE_CLOCK_H

#include <stdint.h>

/*
 * clock - injected time source.
 *
 * Decisions use the monotonic clock only; the wall clock is for display and
 * for deadlines that callers give as dates. Tests use clock_manual_t.
 */
typedef struct clock_s clock_source_t;

typedef struct clock_ops {
	int64_t (*monotonic_us)(const clock_source_t *clock);
	int64_t (*wall_ms)(const clock_source_t *clock);
	int64_t (*elapsed_us)(const clock_source_t *clock);
} clock_ops_t;

struct clock_s {
	const clock_ops_t *ops;
};

typedef struct clock_manual {
	clock_source_t base; /* first member: cast to clock_source_t */
	int64_t monotonic_us;
	int64_t wall_ms;
	int64_t suspended_us; /* that the monotonic clock did not count */
} clock_manual_t;

const clock_source_t *clock_system(void);
void clock_manual_init(clock_manual_t *manual, int64_t wall_ms);
void clock_manual_advance_ms(clock_manual_t *manual, int64_t delta_ms);

int64_t clock_now_us(const clock_source_t *clock);
int64_t clock_now_ms(const clock_source_t *clock);
int64_t clock_wall_ms(const clock_source_t *clock);
/* Monotonic, and counts the time for which the machine was suspended. */
int64_t clock_elapsed_us(const clock_source_t *clock);

#endif
