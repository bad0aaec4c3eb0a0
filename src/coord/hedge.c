#include "coord/hedge.h"

#include <glib.h>

#include "base/histogram.h"

#define MIN_SAMPLES 20
/* The counts of the histogram are halved at this number, so that about this
 * many recent samples count. */
#define RECENT_SAMPLES 1024
#define REFRESH_SAMPLES 16
/* Upper bound of the delay in medians; see the header. */
#define MAX_DELAY_MEDIANS 3

typedef struct hedge_class_state {
	histogram_t recent;
	uint32_t since_refresh;
	int64_t delay_us;
} hedge_class_state_t;

struct hedge {
	hedge_options_t options;
	double budget;
	hedge_class_state_t *classes[HEDGE_CLASSES];
};

uint32_t hedge_class(bool stream, int64_t max_tokens)
{
	uint32_t index = 1;

	if (stream)
		return 0;
	while (max_tokens > 1 && index < HEDGE_CLASSES - 1) {
		max_tokens /= 2;
		index++;
	}
	return index;
}

hedge_t *hedge_new(const hedge_options_t *options)
{
	hedge_t *hedge = g_new0(hedge_t, 1);

	hedge->options = *options;
	hedge->budget = options->initial > 0 ? options->initial : 1;
	return hedge;
}

void hedge_free(hedge_t *hedge)
{
	if (!hedge)
		return;
	for (uint32_t i = 0; i < HEDGE_CLASSES; i++)
		g_free(hedge->classes[i]);
	g_free(hedge);
}

void hedge_deposit(hedge_t *hedge)
{
	hedge->budget =
		MIN(hedge->budget + hedge->options.share, hedge->options.burst);
}

static void refresh(const hedge_t *hedge, hedge_class_state_t *state)
{
	int64_t p50_us = histogram_quantile(&state->recent, 0.5);
	int64_t p95_us = histogram_quantile(&state->recent, 0.95);

	state->since_refresh = 0;
	if (state->recent.total >= RECENT_SAMPLES)
		histogram_age(&state->recent);
	state->delay_us = MAX(MIN(p95_us, p50_us * MAX_DELAY_MEDIANS),
			      hedge->options.min_delay_us);
}

void hedge_sample(hedge_t *hedge, uint32_t class_index, int64_t first_us)
{
	hedge_class_state_t *state = hedge->classes[class_index];

	if (!state) {
		state = g_new0(hedge_class_state_t, 1);
		hedge->classes[class_index] = state;
	}
	histogram_add(&state->recent, first_us);
	if (state->recent.total < MIN_SAMPLES)
		return;
	if (state->delay_us == 0 || ++state->since_refresh >= REFRESH_SAMPLES)
		refresh(hedge, state);
}

int64_t hedge_delay_us(const hedge_t *hedge, uint32_t class_index)
{
	const hedge_class_state_t *state = hedge->classes[class_index];

	if (state && state->delay_us)
		return state->delay_us;
	return hedge->options.initial_delay_us;
}

bool hedge_take(hedge_t *hedge)
{
	if (hedge->budget < 1 - 1e-9)
		return false;
	hedge->budget -= 1;
	return true;
}

void hedge_return(hedge_t *hedge)
{
	hedge->budget = MIN(hedge->budget + 1, hedge->options.burst);
}
