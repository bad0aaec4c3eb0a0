#include "gateway/stream_patience.h"

#include <glib.h>

/* Callers give up on a stream without events after two seconds. */
#define PATIENCE_MIN_MS 900
/* An item that is silent for longer than this at any runner cannot be told from
 * one that hangs. */
#define PATIENCE_MAX_MS 60000
/* The next reading of the same prompt may take longer, at a runner with more
 * load. */
#define LONGEST_SILENCE_FACTOR 2

int32_t stream_patience_ms(const stream_patience_t *patience)
{
	int64_t ms =
		MAX(PATIENCE_MIN_MS, (int64_t)patience->longest_silence_ms *
					     LONGEST_SILENCE_FACTOR);

	for (uint32_t i = 0; i < patience->stalls && ms < PATIENCE_MAX_MS; i++)
		ms *= 2;
	return (int32_t)MIN(ms, PATIENCE_MAX_MS);
}

void stream_patience_event(stream_patience_t *patience, int32_t silence_ms)
{
	patience->stalls = 0;
	patience->longest_silence_ms =
		MAX(patience->longest_silence_ms, silence_ms);
}

void stream_patience_stalled(stream_patience_t *patience)
{
	patience->stalls++;
}

void stream_patience_restart(stream_patience_t *patience)
{
	patience->longest_silence_ms =
		MAX(patience->longest_silence_ms,
		    stream_patience_ms(patience) / LONGEST_SILENCE_FACTOR);
	patience->stalls = 0;
}
