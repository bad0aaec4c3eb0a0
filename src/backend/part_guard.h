#ifndef WASABILINK_BACKEND_PART_GUARD_H
#define WASABILINK_BACKEND_PART_GUARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "backend/crash_log.h"
#include "backend/prompt_parts.h"

/*
 * part_guard - holds back requests with a prompt part that crashes runners.
 *
 * A part is suspected when runners end with a request in flight that has the
 * part and no output yet. Output of any request with the part clears it. A
 * request that comes again counts as a part of its own, the deepest; it is
 * suspected also after output, and cleared by a complete answer. Of the parts
 * that explain several crashes, the one is held that fewest requests share: the
 * deepest that explains most of them. After two crashes a part is
 * held briefly, after three for long, and longer each time that a runner crashes
 * after the hold has ended. After a hold a node sends one request at a time with
 * the part until there is output; nodes begin at different times.
 *
 * Runners that are lost at one moment count as one crash (part_evidence). When
 * all of them were processing requests with one part that is not held, it is put
 * on trial as after a hold, without one.
 *
 * The nodes exchange what they observe (part_report), so that each decides by
 * the crashes that all have seen.
 */
typedef struct part_guard part_guard_t;

#define PART_NEWS_CRASHES_MAX 4
#define PART_NEWS_CLEARS_MAX 32
#define PART_NEWS_HOLDS_MAX 16

/* How far a request was when its connection was lost. */
typedef enum part_loss {
	PART_LOSS_WAITING, /* may not have been processed */
	PART_LOSS_RUNNING, /* the runner had begun to process it */
	PART_LOSS_ANSWERING /* some of the answer had come */
} part_loss_t;

typedef struct part_attempt {
	int64_t sent_us; /* of part_guard_now_us() */
	bool answered; /* some of the answer came */
	bool relayed; /* another node sent it to the runner */
} part_attempt_t;

typedef struct part_clear {
	uint64_t part;
	int64_t at_us; /* of the output */
} part_clear_t;

typedef struct part_hold {
	uint64_t part;
	uint32_t depth;
	uint32_t crashes;
	uint32_t doublings; /* of the time of the hold */
	int64_t last_crash_us;
	int64_t until_us;
} part_hold_t;

/* What a node tells others; times are of the receiver's or sender's clock. */
typedef struct part_news {
	crash_t crashes[PART_NEWS_CRASHES_MAX];
	uint32_t crashes_count;
	part_clear_t clears[PART_NEWS_CLEARS_MAX];
	uint32_t clears_count;
	part_hold_t holds[PART_NEWS_HOLDS_MAX];
	uint32_t holds_count;
} part_news_t;

typedef struct part_guard_options {
	const clock_source_t *clock;
	GRand *random;
	counter_set_t *counters;
	/* There is news for the other nodes; may be NULL. */
	void (*changed)(void *user_data);
	void *user_data;
} part_guard_options_t;

part_guard_t *part_guard_new(const part_guard_options_t *options);
void part_guard_free(part_guard_t *guard);

/* Time of the clock that the guard's times are of. */
int64_t part_guard_now_us(const part_guard_t *guard);
/*
 * The connection of a request with these parts ended at the runner's side. Sent
 * without an answer after a crash of the runner was noted, the request is no
 * suspect of that; and when it was in progress at several runners that are lost
 * at one moment, it is a suspect once. attempt: NULL if it is not known.
 */
void part_guard_lost(part_guard_t *guard, uint64_t runner,
		     const prompt_parts_t *parts, part_loss_t loss,
		     const part_attempt_t *attempt);
/* The runner was up at a time: it has answered a request that was sent then, or has
 * started. Without that a crash that follows another one may be none. */
void part_guard_seen(part_guard_t *guard, uint64_t runner, int64_t at_us);
/* The runner sent output for a request that was sent at started_us. If that is
 * before a crash of it was noted, or if a runner cannot have started again since
 * the crash, it has not crashed: returns the time of that crash if this was not
 * known, else 0. */
int64_t part_guard_output(part_guard_t *guard, uint64_t runner,
			  int64_t started_us);
/* This node's connections to the runner broke within these times without an end of
 * the runner. Its crashes in that time of which no other node has told were none. */
void part_guard_withdraw(part_guard_t *guard, uint64_t runner, int64_t from_us,
			 int64_t until_us);
/* A runner has begun to answer a request with these parts. Clears the parts that
 * it shares with others; the request may still crash the runner. */
void part_guard_begun(part_guard_t *guard, const prompt_parts_t *parts);
/* A runner has answered a request with these parts. Clears the request. */
void part_guard_completed(part_guard_t *guard, const prompt_parts_t *parts);
/* A request with these parts is sent to a runner. */
void part_guard_sent(part_guard_t *guard, const prompt_parts_t *parts);
/* Milliseconds for which a request with these parts is to be held back; 0: it
 * may be sent. */
int32_t part_guard_hold_ms(const part_guard_t *guard,
			   const prompt_parts_t *parts);
/* Whether one of the parts is held after crashes enough to rule out chance. */
bool part_guard_is_certain(const part_guard_t *guard,
			   const prompt_parts_t *parts);
/* Forgets what is old. To be called several times per second. */
void part_guard_tick(part_guard_t *guard);

/* Number of parts with state. */
uint32_t part_guard_size(const part_guard_t *guard);

/* Takes news that all other nodes are to be told; false when there is none. To
 * be called until then. */
bool part_guard_take_news(part_guard_t *guard, part_news_t *news);
/* The holds and the newest crashes with the parts cleared since, for a node that
 * may have missed news; false when there are none. */
bool part_guard_summary(const part_guard_t *guard, part_news_t *news);
/* Applies another node's news. */
void part_guard_apply(part_guard_t *guard, const part_news_t *news);

#endif
