#ifndef WASABILINK_GATEWAY_STREAM_PATIENCE_H
#define WASABILINK_GATEWAY_STREAM_PATIENCE_H

#include <stdint.h>

/*
 * stream_patience - how long a stream may be silent before it is resumed at
 * another runner.
 *
 * A runner that reads a long prompt sends nothing, like one that hangs. Each
 * attempt of a request that has stalled doubles the time for the next one, up to
 * a minute, so a long prompt is read in the end, and a request that meets hung
 * runners twice waits little longer. A silence that ended with an event shows
 * how long the request may take, also when its prompt is read again.
 *
 * Initialized with zeros. Times are in milliseconds.
 */
typedef struct stream_patience {
	int32_t longest_silence_ms; /* that ended with an event */
	uint32_t stalls; /* attempts that stalled since the last event */
} stream_patience_t;

/* The longest silence that is not a stall. */
int32_t stream_patience_ms(const stream_patience_t *patience);
/* An event has come after a silence. */
void stream_patience_event(stream_patience_t *patience, int32_t silence_ms);
/* An attempt has been ended as it stalled. */
void stream_patience_stalled(stream_patience_t *patience);
/* The request begins anew. Its next attempts may be silent for as long as one
 * after the last stall, also behind events. */
void stream_patience_restart(stream_patience_t *patience);

#endif
