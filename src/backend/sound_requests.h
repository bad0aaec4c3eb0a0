#ifndef WASABILINK_BACKEND_SOUND_REQUESTS_H
#define WASABILINK_BACKEND_SOUND_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * sound_requests - requests that runners have answered completely of late.
 *
 * A request that crashes runners by its content is not answered by any. One that
 * is sent all the time is in progress at most crashes, whatever causes these, and
 * is known here. Requests are known by the key of their content. The newest ones
 * are kept, a fixed number; times are in microseconds, of one clock.
 */
typedef struct sound_requests sound_requests_t;

/* For so long an answer before a crash shows that the request did not cause it. */
#define SOUND_REQUESTS_MS 10000
/* At least so many of the newest requests are kept. */
#define SOUND_REQUESTS_MIN 4096

sound_requests_t *sound_requests_new(void);
void sound_requests_free(sound_requests_t *requests);
/* A request was answered completely. */
void sound_requests_note(sound_requests_t *requests, uint64_t key,
			 int64_t now_us);
/* Whether the request was answered in the time before. */
bool sound_requests_has(const sound_requests_t *requests, uint64_t key,
			int64_t at_us);
/* Number of requests that are kept. */
uint32_t sound_requests_size(const sound_requests_t *requests);

#endif
