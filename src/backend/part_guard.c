#include "backend/part_guard.h"

#include <inttypes.h>

#include "backend/part_evidence.h"
#include "backend/sound_requests.h"
#include "base/log.h"

#define HOLD_SUSPECTED_MS 2000
#define HOLD_CERTAIN_MS 60000
#define HOLD_DOUBLINGS_MAX 4
#define HOLD_MAX_MS ((int64_t)HOLD_CERTAIN_MS << HOLD_DOUBLINGS_MAX)
/* Part of a hold over which the nodes spread their first requests after it, so
 * that a crash of one is known before most others send theirs. */
#define HOLD_JITTER_SHARE 0.25
/* The same after runners were lost at one moment with a part that is not held. */
#define TRIAL_SPREAD_MS 500
/* Time after which a request on trial without output or crash is followed by
 * the next one. */
#define TRIAL_MS 2000
/* Above the longest hold, after which the next crash is to be recognized. */
#define CRASH_MAX_AGE_MS (30 * 60 * 1000)
/* A runner that sends output this much later than a connection ended has not
 * crashed then. */
#define SURVIVAL_MARGIN_US 50000
/* Output of a runner is compared with crashes up to this age. */
#define SURVIVAL_MAX_AGE_US 5000000
/* Summaries hold crashes up to this age; older ones are only needed by nodes
 * that know of them, and holds are sent by themselves. */
#define SUMMARY_MAX_AGE_US 10000000
/* All nodes notice a crash within this time. One that notices it later has sent its
 * requests to a runner that was down, or stood still itself. */
#define NOTICE_MAX_US 20000
/* Each news is sent this often, as datagrams may be lost. */
#define NEWS_SENDS 3
/* Share of the crashes of a part that a deeper part must explain to be held
 * instead of it. */
#define DEEPER_SHARE 0.66

typedef struct part {
	uint64_t id;
	uint32_t depth;
	part_evidence_t evidence; /* of what no other part explains */
	uint32_t mentions; /* crashes that it was a suspect of; never reduced */
	uint32_t crashes;
	uint32_t doublings;
	int64_t cleared_us; /* last output; 0: none known */
	int64_t newest_us; /* last crash with the part */
	int64_t held_crash_us; /* last crash that the hold is based on */
	/* Crash since which requests are sent one at a time, without a hold. */
	int64_t trial_crash_us;
	int64_t hold_until_us; /* 0: not held */
	int64_t send_at_us; /* when this node may send the next request */
	uint32_t clear_sends_left;
	bool certain;
	bool told; /* held by another node's crashes, which are not in the log */
	bool retracted; /* a crash with it was none; until the next decision */
	bool blamed; /* explains crashes, by the last decision */
	bool on_trial; /* runners were lost at one moment, by that decision */
} part_t;

struct part_guard {
	part_guard_options_t options;
	crash_log_t log;
	GHashTable *parts; /* id -> part_t; those of the log, and held ones */
	sound_requests_t *sound;
	int64_t *crashes_total;
	int64_t *joined_total;
	int64_t *withdrawn_total;
	int64_t *trials_total;
	int64_t *holds_total;
	int64_t *clears_total;
	int64_t *held; /* sum over the guards of a process */
	int64_t own_held;
};

part_guard_t *part_guard_new(const part_guard_options_t *options)
{
	part_guard_t *guard = g_new0(part_guard_t, 1);

	guard->options = *options;
	guard->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	guard->sound = sound_requests_new();
	guard->crashes_total = counter_get(options->counters, COUNTER_MONOTONIC,
					   "runner_crashes_total", NULL);
	guard->joined_total = counter_get(options->counters, COUNTER_MONOTONIC,
					  "runner_crashes_joined_total", NULL);
	guard->withdrawn_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "runner_crashes_withdrawn_total", NULL);
	guard->trials_total = counter_get(options->counters, COUNTER_MONOTONIC,
					  "part_trials_total", NULL);
	guard->holds_total = counter_get(options->counters, COUNTER_MONOTONIC,
					 "part_holds_total", NULL);
	guard->clears_total = counter_get(options->counters, COUNTER_MONOTONIC,
					  "part_clears_total", NULL);
	guard->held = counter_get(options->counters, COUNTER_GAUGE,
				  "parts_held", NULL);
	return guard;
}

void part_guard_free(part_guard_t *guard)
{
	if (!guard)
		return;
	g_hash_table_destroy(guard->parts);
	sound_requests_free(guard->sound);
	crash_log_clear(&guard->log);
	g_free(guard);
}

int64_t part_guard_now_us(const part_guard_t *guard)
{
	return clock_elapsed_us(guard->options.clock);
}

static part_t *find_part(const part_guard_t *guard, uint64_t id)
{
	return g_hash_table_lookup(guard->parts, &id);
}

static part_t *find_or_add_part(part_guard_t *guard, uint64_t id,
				uint32_t depth)
{
	part_t *part = find_part(guard, id);

	if (part)
		return part;
	part = g_new0(part_t, 1);
	part->id = id;
	part->depth = depth;
	g_hash_table_insert(guard->parts, &part->id, part);
	return part;
}

static void news_available(const part_guard_t *guard)
{
	if (guard->options.changed)
		guard->options.changed(guard->options.user_data);
}

static bool is_held(const part_t *part, int64_t now_us)
{
	return part->hold_until_us > now_us;
}

/* Last crash because of which requests are held back; 0: none. */
static int64_t cause_us(const part_t *part)
{
	return MAX(part->held_crash_us, part->trial_crash_us);
}

/* Whether there was no output with the part since it was held. */
static bool is_on_trial(const part_t *part)
{
	return cause_us(part) > part->cleared_us;
}

static void set_hold(part_guard_t *guard, part_t *part, int64_t until_us)
{
	int64_t hold_us = until_us - part->held_crash_us;

	part->hold_until_us = until_us;
	part->send_at_us =
		until_us + (int64_t)((double)hold_us * HOLD_JITTER_SHARE *
				     g_rand_double(guard->options.random));
}

static evidence_part_t evidence_part(const part_t *part)
{
	return (evidence_part_t){ part->id, part->cleared_us };
}

static part_evidence_t total_evidence(const part_guard_t *guard,
				      const part_t *part, const bool *explained)
{
	bool crashed_on_trial =
		part->certain && part->newest_us > part->held_crash_us;
	const evidence_part_t suspect = evidence_part(part);
	part_evidence_t evidence = { 0 };

	/* One crash alone is not enough; most parts have no other. */
	if (part->blamed || (part->mentions < 2 && !crashed_on_trial))
		return evidence;
	evidence = part_evidence_sum(&guard->log, &suspect, explained);
	/* The crashes before the hold may not be in the log any more. */
	if (crashed_on_trial && evidence.sum > 0)
		evidence.sum = MAX(evidence.sum, EVIDENCE_SUSPECTED);
	return evidence;
}

static bool is_stronger(const part_t *part, const part_t *than)
{
	if (!than || part->evidence.sum != than->evidence.sum)
		return !than || part->evidence.sum > than->evidence.sum;
	if (part->depth != than->depth)
		return part->depth > than->depth;
	return part->id < than->id;
}

/* Whether a part may be held instead of a shallower one. A single request must
 * explain all crashes. */
static bool explains_enough(const part_t *part, const part_t *strongest)
{
	double share = part->depth == PROMPT_DEPTH_REQUEST ? 1.0 : DEEPER_SHARE;

	return part->evidence.sum >= share * strongest->evidence.sum;
}

/* The part that explains the most crashes, or a deeper one that explains nearly
 * as many; NULL when none is suspected. */
static part_t *strongest_suspect(const part_guard_t *guard,
				 const bool *explained)
{
	GHashTableIter iter;
	part_t *strongest = NULL;
	part_t *chosen;
	void *value;

	g_hash_table_iter_init(&iter, guard->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		part_t *part = value;

		part->evidence = total_evidence(guard, part, explained);
		if (part->evidence.sum >= EVIDENCE_SUSPECTED &&
		    is_stronger(part, strongest))
			strongest = part;
	}
	chosen = strongest;
	g_hash_table_iter_init(&iter, guard->parts);
	while (strongest && g_hash_table_iter_next(&iter, NULL, &value)) {
		part_t *part = value;

		if (part->evidence.sum >= EVIDENCE_SUSPECTED &&
		    explains_enough(part, strongest) &&
		    (part->depth > chosen->depth ||
		     (part->depth == chosen->depth &&
		      is_stronger(part, chosen))))
			chosen = part;
	}
	return chosen;
}

static void hold(part_guard_t *guard, part_t *part)
{
	int64_t now_us = part_guard_now_us(guard);
	bool certain = part->evidence.sum >= EVIDENCE_CERTAIN;
	int64_t hold_ms = certain ? HOLD_CERTAIN_MS : HOLD_SUSPECTED_MS;

	part->blamed = true;
	if (part->newest_us <= part->held_crash_us && certain <= part->certain)
		return;
	if (part->certain && part->newest_us > part->hold_until_us &&
	    part->doublings < HOLD_DOUBLINGS_MAX)
		part->doublings++;
	certain |= part->certain;
	if (certain)
		hold_ms = (int64_t)HOLD_CERTAIN_MS << part->doublings;
	part->certain = certain;
	part->told = false;
	part->crashes = part->evidence.sum / EVIDENCE_RUNNING;
	part->held_crash_us = part->newest_us;
	set_hold(guard, part,
		 MAX(part->hold_until_us, part->newest_us + hold_ms * 1000));
	if (!is_held(part, now_us))
		return;
	(*guard->holds_total)++;
	log_warn("part_held",
		 "part=%" PRIx64 " depth=%u evidence=%u runners=%u certain=%d "
		 "crash_age_ms=%" PRId64 " hold_ms=%" PRId64 " doublings=%u",
		 part->id, part->depth, part->evidence.sum,
		 part->evidence.runners, certain,
		 (now_us - part->newest_us) / 1000,
		 (part->hold_until_us - now_us) / 1000, part->doublings);
}

static void explain(const part_guard_t *guard, const part_t *part,
		    bool *explained)
{
	const evidence_part_t suspect = evidence_part(part);

	for (uint32_t i = 0; i < guard->log.count; i++) {
		const crash_t *crash = &guard->log.crashes[i];

		if (crash_suspect(crash, part->id) &&
		    part_evidence_counts(crash, &suspect))
			explained[i] = true;
	}
}

static void end_hold(part_t *part)
{
	part->hold_until_us = 0;
	part->send_at_us = 0;
	part->held_crash_us = 0;
	part->trial_crash_us = 0;
}

/* Whether a long hold is based on crashes that were none. Those that it is
 * based on may have left a full log. */
static bool is_unfounded(const part_guard_t *guard, const part_t *part)
{
	return part->retracted && !part->told &&
	       guard->log.count < CRASH_LOG_MAX;
}

/* Ends a hold for good: what other nodes still tell of it is ignored. */
static void end_unfounded(part_t *part)
{
	part->cleared_us =
		MAX(part->cleared_us, part->held_crash_us + SURVIVAL_MARGIN_US);
	part->certain = false;
	part->doublings = 0;
	end_hold(part);
}

/* Ends brief holds that the crashes known now do not justify, and long ones that
 * were based on crashes that were none. */
static void release_others(part_guard_t *guard)
{
	int64_t now_us = part_guard_now_us(guard);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, guard->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		part_t *part = value;

		bool unfounded = is_unfounded(guard, part);

		part->retracted = false;
		if (part->blamed || (part->certain && !unfounded) ||
		    !is_held(part, now_us))
			continue;
		log_info("part_released",
			 "part=%" PRIx64 " evidence=%u certain=%d", part->id,
			 part->evidence.sum, part->certain);
		if (part->certain)
			end_unfounded(part);
		else
			end_hold(part);
	}
}

/* The deepest part with which several runners were lost at one moment, which
 * nothing else explains; NULL when there is none. */
static part_t *deepest_shared(const part_guard_t *guard, const bool *explained)
{
	GHashTableIter iter;
	part_t *deepest = NULL;
	void *value;

	g_hash_table_iter_init(&iter, guard->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		part_t *part = value;

		if (part->depth == PROMPT_DEPTH_REQUEST || part->on_trial)
			continue;
		part->evidence = total_evidence(guard, part, explained);
		if (part->evidence.shared_us == 0)
			continue;
		if (!deepest || part->depth > deepest->depth ||
		    (part->depth == deepest->depth && part->id < deepest->id))
			deepest = part;
	}
	return deepest;
}

static void put_on_trial(part_guard_t *guard, part_t *part)
{
	int64_t shared_us = part->evidence.shared_us;
	bool known = shared_us - part->trial_crash_us <= COMMON_CAUSE_US;

	part->on_trial = true;
	if (shared_us <= part->trial_crash_us)
		return;
	part->trial_crash_us = shared_us;
	if (known)
		return;
	part->send_at_us =
		MAX(part->send_at_us,
		    shared_us + g_rand_int_range(guard->options.random, 0,
						 TRIAL_SPREAD_MS * 1000));
	(*guard->trials_total)++;
	log_info("part_on_trial",
		 "part=%" PRIx64 " depth=%u evidence=%u runners=%u "
		 "crash_age_ms=%" PRId64,
		 part->id, part->depth, part->evidence.sum,
		 part->evidence.runners,
		 (part_guard_now_us(guard) - shared_us) / 1000);
}

/* Ends the trial of parts whose crashes have another explanation now. */
static void end_trials(part_guard_t *guard)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, guard->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		part_t *part = value;

		if (part->on_trial || part->blamed || part->trial_crash_us == 0)
			continue;
		part->trial_crash_us = 0;
		if (!is_on_trial(part))
			part->send_at_us = 0;
	}
}

/* Decides which parts are held or on trial, by all crashes that are known. */
static void decide(part_guard_t *guard)
{
	bool explained[CRASH_LOG_MAX] = { false };
	GHashTableIter iter;
	part_t *part;
	void *value;

	g_hash_table_iter_init(&iter, guard->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		part = value;
		part->blamed = false;
		part->on_trial = false;
	}
	while ((part = strongest_suspect(guard, explained))) {
		hold(guard, part);
		explain(guard, part, explained);
	}
	release_others(guard);
	while ((part = deepest_shared(guard, explained))) {
		put_on_trial(guard, part);
		explain(guard, part, explained);
	}
	end_trials(guard);
}

/* Whether it is a request that had a complete answer shortly before. */
static bool is_sound(const part_guard_t *guard, uint64_t part, uint32_t depth,
		     int64_t at_us)
{
	return depth == PROMPT_DEPTH_REQUEST &&
	       sound_requests_has(guard->sound, part, at_us);
}

static bool add_suspect(part_guard_t *guard, crash_t *crash,
			crash_suspect_t *suspect)
{
	part_t *part = find_part(guard, suspect->part);

	suspect->sound =
		is_sound(guard, suspect->part, suspect->depth, crash->at_us);
	suspect->repeated = part && part->mentions > 0;
	if (!crash_add_suspect(crash, suspect))
		return false;
	part = find_or_add_part(guard, suspect->part, suspect->depth);
	part->newest_us = MAX(part->newest_us, crash->at_us);
	part->mentions++;
	return true;
}

static bool is_one_moment(const crash_t *crash, const crash_t *other)
{
	return ABS(crash->at_us - other->at_us) <= COMMON_CAUSE_US;
}

/* Tells of a crash that counts as one with another. */
static void log_joined(part_guard_t *guard, const crash_t *crash)
{
	const crash_log_t *log = &guard->log;

	for (uint32_t i = 0; i < log->count; i++) {
		const crash_t *other = &log->crashes[i];

		if (other == crash || other->survived ||
		    !is_one_moment(crash, other))
			continue;
		(*guard->joined_total)++;
		log_info("runner_crashes_joined",
			 "runner_key=%" PRIx64 " with_key=%" PRIx64
			 " after_us=%" PRId64,
			 crash->runner, other->runner,
			 crash->at_us - other->at_us);
		return;
	}
}

static crash_t *note_crash(part_guard_t *guard, uint64_t runner, int64_t at_us)
{
	uint32_t known = guard->log.count;
	crash_t *crash = crash_log_note(&guard->log, runner, at_us);
	bool replaced = known == CRASH_LOG_MAX && crash->count == 0;

	if (guard->log.count == known && !replaced)
		return crash;
	(*guard->crashes_total)++;
	log_joined(guard, crash);
	return crash;
}

/* Whether the request was already sent when another runner was lost at about the
 * same moment with the same request. A lost link ends all connections at one
 * moment, and few requests of one content are in progress at one moment. */
static bool is_concurrent(const part_guard_t *guard, const crash_t *crash,
			  uint64_t request, const part_attempt_t *attempt)
{
	const crash_log_t *log = &guard->log;

	for (uint32_t i = 0; attempt && i < log->count; i++) {
		const crash_t *other = &log->crashes[i];

		if (other != crash && attempt->sent_us < other->at_us &&
		    is_one_moment(crash, other) &&
		    crash_suspect(other, request))
			return true;
	}
	return false;
}

/* Whether the request was sent after all other runners were lost that are lost
 * at this moment with the part, and there are such. */
static bool is_sent_again(const part_guard_t *guard, const crash_t *crash,
			  uint64_t part, const part_attempt_t *attempt)
{
	const crash_log_t *log = &guard->log;
	bool again = false;

	for (uint32_t i = 0; attempt && i < log->count; i++) {
		const crash_t *other = &log->crashes[i];

		if (other == crash || !is_one_moment(crash, other) ||
		    !crash_suspect(other, part))
			continue;
		if (attempt->sent_us < other->at_us)
			return false;
		again = true;
	}
	return again;
}

void part_guard_lost(part_guard_t *guard, uint64_t runner,
		     const prompt_parts_t *parts, part_loss_t loss,
		     const part_attempt_t *attempt)
{
	crash_t *crash;
	bool changed = false;

	if (attempt && attempt->answered)
		crash_log_seen(&guard->log, runner, attempt->sent_us);
	crash = note_crash(guard, runner, part_guard_now_us(guard));
	if (attempt && attempt->relayed)
		crash->own_links = false;
	if (attempt && !attempt->answered && attempt->sent_us > crash->at_us)
		return;
	for (uint32_t i = 0; i < parts->count; i++) {
		crash_suspect_t suspect = {
			.part = parts->ids[i],
			.depth = prompt_parts_depth(parts, i),
			.running = loss == PART_LOSS_RUNNING,
			.begun_us = attempt && !attempt->answered ?
					    attempt->sent_us :
					    0,
		};

		if (loss == PART_LOSS_ANSWERING &&
		    suspect.depth != PROMPT_DEPTH_REQUEST)
			continue;
		if (suspect.depth == PROMPT_DEPTH_REQUEST &&
		    is_concurrent(guard, crash, suspect.part, attempt))
			continue;
		suspect.sent_again =
			is_sent_again(guard, crash, suspect.part, attempt);
		changed |= add_suspect(guard, crash, &suspect);
	}
	if (!changed || crash->survived)
		return;
	crash->sends_left = NEWS_SENDS;
	decide(guard);
	news_available(guard);
}

/* Records that a crash was none. Returns whether that is new. */
static bool mark_survived(part_guard_t *guard, crash_t *crash)
{
	if (crash->survived)
		return false;
	crash_log_survived(&guard->log, crash);
	for (uint32_t i = 0; i < crash->count; i++) {
		part_t *part = find_part(guard, crash->suspects[i].part);

		if (part)
			part->retracted = true;
	}
	return true;
}

/* Records that a crash was none, and tells the other nodes. */
static void retract(part_guard_t *guard, crash_t *crash)
{
	mark_survived(guard, crash);
	crash->sends_left = NEWS_SENDS;
	decide(guard);
	news_available(guard);
}

void part_guard_seen(part_guard_t *guard, uint64_t runner, int64_t at_us)
{
	crash_log_seen(&guard->log, runner, at_us);
}

int64_t part_guard_output(part_guard_t *guard, uint64_t runner,
			  int64_t started_us)
{
	const crash_log_t *log = &guard->log;
	int64_t now_us;
	crash_t *crash;

	if (log->count == 0)
		return 0;
	now_us = part_guard_now_us(guard);
	if (now_us - log->crashes[log->count - 1].at_us > SURVIVAL_MAX_AGE_US)
		return 0;
	crash = crash_log_find(&guard->log, runner);
	if (!crash || crash->survived ||
	    now_us - crash->at_us < SURVIVAL_MARGIN_US)
		return 0;
	if (started_us >= crash->at_us &&
	    now_us - crash->at_us >= CRASH_RESTART_MIN_US)
		return 0;
	log_info("runner_survived",
		 "runner_key=%" PRIx64 " suspects=%u lost_age_ms=%" PRId64,
		 runner, crash->count, (now_us - crash->at_us) / 1000);
	retract(guard, crash);
	return crash->at_us;
}

void part_guard_withdraw(part_guard_t *guard, uint64_t runner, int64_t from_us,
			 int64_t until_us)
{
	for (uint32_t i = 0; i < guard->log.count; i++) {
		crash_t *crash = &guard->log.crashes[i];

		if (crash->runner != runner || !crash->own_links ||
		    crash->survived || crash->at_us < from_us ||
		    crash->at_us > until_us)
			continue;
		(*guard->withdrawn_total)++;
		log_info("runner_crash_withdrawn",
			 "runner_key=%" PRIx64 " suspects=%u age_ms=%" PRId64,
			 runner, crash->count,
			 (part_guard_now_us(guard) - crash->at_us) / 1000);
		retract(guard, crash);
	}
}

static void clear(part_guard_t *guard, part_t *part, int64_t at_us,
		  const char *source)
{
	int64_t now_us = part_guard_now_us(guard);

	if (at_us > cause_us(part) &&
	    (is_held(part, now_us) || is_on_trial(part)))
		log_info("part_cleared",
			 "part=%" PRIx64 " source=%s age_ms=%" PRId64, part->id,
			 source, (now_us - at_us) / 1000);
	part->cleared_us = at_us;
	if (cause_us(part) >= at_us)
		return;
	if (is_held(part, now_us))
		(*guard->clears_total)++;
	end_hold(part);
	part->certain = false;
	part->doublings = 0;
}

/* Clears the parts of an answered request: its own key, or all others. */
static void clear_parts(part_guard_t *guard, const prompt_parts_t *parts,
			bool request)
{
	bool changed = false;
	bool decides = false;

	if (g_hash_table_size(guard->parts) == 0)
		return;
	for (uint32_t i = 0; i < parts->count; i++) {
		bool is_request =
			prompt_parts_depth(parts, i) == PROMPT_DEPTH_REQUEST;
		part_t *part = find_part(guard, parts->ids[i]);

		if (!part || is_request != request ||
		    MAX(part->newest_us, part->held_crash_us) <=
			    part->cleared_us)
			continue;
		/* Less evidence against a part that is not held changes
		 * nothing. */
		decides |= part->blamed;
		clear(guard, part, part_guard_now_us(guard), "own");
		part->clear_sends_left = NEWS_SENDS;
		changed = true;
	}
	if (decides)
		decide(guard);
	if (changed)
		news_available(guard);
}

void part_guard_begun(part_guard_t *guard, const prompt_parts_t *parts)
{
	clear_parts(guard, parts, false);
}

void part_guard_completed(part_guard_t *guard, const prompt_parts_t *parts)
{
	for (uint32_t i = 0; i < parts->count; i++)
		if (prompt_parts_depth(parts, i) == PROMPT_DEPTH_REQUEST)
			sound_requests_note(guard->sound, parts->ids[i],
					    part_guard_now_us(guard));
	clear_parts(guard, parts, true);
}

void part_guard_sent(part_guard_t *guard, const prompt_parts_t *parts)
{
	int64_t now_us;

	if (g_hash_table_size(guard->parts) == 0)
		return;
	now_us = part_guard_now_us(guard);
	for (uint32_t i = 0; i < parts->count; i++) {
		part_t *part = find_part(guard, parts->ids[i]);

		if (!part || !is_on_trial(part))
			continue;
		log_info("part_tried", "part=%" PRIx64 " held_ms=%" PRId64,
			 part->id, (now_us - cause_us(part)) / 1000);
		part->send_at_us = now_us + TRIAL_MS * 1000;
	}
}

int32_t part_guard_hold_ms(const part_guard_t *guard,
			   const prompt_parts_t *parts)
{
	int64_t hold_us = 0;
	int64_t now_us;

	if (g_hash_table_size(guard->parts) == 0)
		return 0;
	now_us = part_guard_now_us(guard);
	for (uint32_t i = 0; i < parts->count; i++) {
		const part_t *part = find_part(guard, parts->ids[i]);

		if (part && is_on_trial(part))
			hold_us = MAX(hold_us, part->send_at_us - now_us);
	}
	return (int32_t)((hold_us + 999) / 1000);
}

bool part_guard_is_certain(const part_guard_t *guard,
			   const prompt_parts_t *parts)
{
	int64_t now_us;

	if (g_hash_table_size(guard->parts) == 0)
		return false;
	now_us = part_guard_now_us(guard);
	for (uint32_t i = 0; i < parts->count; i++) {
		const part_t *part = find_part(guard, parts->ids[i]);

		if (part && part->certain && is_held(part, now_us))
			return true;
	}
	return false;
}

uint32_t part_guard_size(const part_guard_t *guard)
{
	return g_hash_table_size(guard->parts);
}

static bool is_in_log(const part_guard_t *guard, const part_t *part)
{
	for (uint32_t i = 0; i < guard->log.count; i++)
		if (crash_suspect(&guard->log.crashes[i], part->id))
			return true;
	return false;
}

void part_guard_tick(part_guard_t *guard)
{
	int64_t held = 0;
	int64_t oldest_us;
	GHashTableIter iter;
	void *value;

	if (guard->log.count == 0 && g_hash_table_size(guard->parts) == 0 &&
	    guard->own_held == 0)
		return;
	oldest_us = part_guard_now_us(guard) - CRASH_MAX_AGE_MS * 1000LL;
	crash_log_expire(&guard->log, oldest_us);
	g_hash_table_iter_init(&iter, guard->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const part_t *part = value;

		if (is_on_trial(part) && cause_us(part) >= oldest_us)
			held++;
		else if (!is_in_log(guard, part))
			g_hash_table_iter_remove(&iter);
	}
	*guard->held += held - guard->own_held;
	guard->own_held = held;
}

/* Takes crashes with this number of sends left. */
static void take_crashes(part_guard_t *guard, part_news_t *news,
			 uint32_t sends_left)
{
	for (uint32_t i = 0; i < guard->log.count &&
			     news->crashes_count < PART_NEWS_CRASHES_MAX;
	     i++) {
		crash_t *crash = &guard->log.crashes[i];

		if (crash->sends_left != sends_left)
			continue;
		crash->sends_left--;
		crash->told = true;
		news->crashes[news->crashes_count++] = *crash;
	}
}

static void take_clears(part_guard_t *guard, part_news_t *news)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, guard->parts);
	while (news->clears_count < PART_NEWS_CLEARS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		part_t *part = value;

		if (part->clear_sends_left == 0)
			continue;
		part->clear_sends_left--;
		news->clears[news->clears_count++] =
			(part_clear_t){ part->id, part->cleared_us };
	}
}

bool part_guard_take_news(part_guard_t *guard, part_news_t *news)
{
	news->crashes_count = 0;
	news->clears_count = 0;
	news->holds_count = 0;
	/* The ones that were sent least often come first. */
	for (uint32_t sends = NEWS_SENDS; sends > 0; sends--)
		take_crashes(guard, news, sends);
	take_clears(guard, news);
	return news->crashes_count > 0 || news->clears_count > 0;
}

/* Adds the last output with a part. Returns false when there is no room. */
static bool add_clear(part_news_t *news, const part_t *part)
{
	for (uint32_t i = 0; i < news->clears_count; i++)
		if (news->clears[i].part == part->id)
			return true;
	if (news->clears_count == PART_NEWS_CLEARS_MAX)
		return false;
	news->clears[news->clears_count++] =
		(part_clear_t){ part->id, part->cleared_us };
	return true;
}

/* Adds a crash, with the output that has cleared its suspects since. Those whose
 * output has no room are left out. */
static void add_crash(const part_guard_t *guard, part_news_t *news,
		      const crash_t *crash)
{
	crash_t *copy = &news->crashes[news->crashes_count++];

	*copy = *crash;
	copy->count = 0;
	for (uint32_t i = 0; i < crash->count; i++) {
		const part_t *part = find_part(guard, crash->suspects[i].part);

		if (part && crash->at_us <= part->cleared_us &&
		    !add_clear(news, part))
			continue;
		copy->suspects[copy->count++] = crash->suspects[i];
	}
}

bool part_guard_summary(const part_guard_t *guard, part_news_t *news)
{
	int64_t now_us = part_guard_now_us(guard);
	GHashTableIter iter;
	void *value;

	news->crashes_count = 0;
	news->clears_count = 0;
	news->holds_count = 0;
	for (uint32_t i = guard->log.count;
	     i-- > 0 && news->crashes_count < PART_NEWS_CRASHES_MAX;) {
		const crash_t *crash = &guard->log.crashes[i];

		if (crash->count > 0 &&
		    now_us - crash->at_us <= SUMMARY_MAX_AGE_US)
			add_crash(guard, news, crash);
	}
	g_hash_table_iter_init(&iter, guard->parts);
	while (news->holds_count < PART_NEWS_HOLDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const part_t *part = value;

		if (part->certain && is_held(part, now_us))
			news->holds[news->holds_count++] = (part_hold_t){
				.part = part->id,
				.depth = part->depth,
				.crashes = part->crashes,
				.doublings = part->doublings,
				.last_crash_us = part->held_crash_us,
				.until_us = part->hold_until_us,
			};
	}
	return news->crashes_count > 0 || news->holds_count > 0;
}

/* Another node has noticed the crash before this one did. */
static crash_t *predate(part_guard_t *guard, crash_t *crash, int64_t at_us)
{
	const crash_t noted = *crash;

	crash = crash_log_predate(&guard->log, crash, at_us);
	for (uint32_t i = 0; i < noted.count; i++) {
		part_t *part = find_part(guard, noted.suspects[i].part);

		if (part && !crash_suspect(crash, part->id))
			part->retracted = true;
	}
	/* Nodes that know the earlier time have not taken the suspects. */
	crash->sends_left = NEWS_SENDS;
	news_available(guard);
	log_info("runner_crash_predated",
		 "runner_key=%" PRIx64 " suspects=%u former_suspects=%u",
		 crash->runner, crash->count, noted.count);
	return crash;
}

/* A node that has noticed the crash late can tell only then which of its requests
 * the runner had begun by this node's time. */
static void tell_time(part_guard_t *guard, crash_t *crash)
{
	if (crash->told)
		return;
	crash->told = true;
	crash->sends_left = NEWS_SENDS;
	news_available(guard);
}

static bool apply_crash(part_guard_t *guard, const crash_t *from)
{
	crash_t *crash = note_crash(guard, from->runner, from->at_us);
	bool late = from->at_us > crash->at_us + NOTICE_MAX_US;
	bool changed = false;

	if (from->at_us < crash->at_us - NOTICE_MAX_US) {
		crash = predate(guard, crash, from->at_us);
		changed = true;
	}
	for (uint32_t i = 0; i < from->count; i++) {
		crash_suspect_t suspect = from->suspects[i];
		const crash_suspect_t *known =
			crash_suspect(crash, suspect.part);

		suspect.begun_us = from->at_us;
		suspect.sent_again = known && known->sent_again;
		if (!late)
			changed |= add_suspect(guard, crash, &suspect);
	}
	/* A node that only repeats what this one told brings nothing new. */
	if (changed)
		crash->own_links = false;
	if (late && from->count > 0)
		tell_time(guard, crash);
	if (from->survived)
		changed |= mark_survived(guard, crash);
	return changed;
}

static bool apply_clear(part_guard_t *guard, const part_clear_t *from)
{
	part_t *part = find_part(guard, from->part);

	if (!part || from->at_us <= part->cleared_us)
		return false;
	clear(guard, part, from->at_us, "peer");
	return part->blamed;
}

static void apply_hold(part_guard_t *guard, const part_hold_t *from)
{
	int64_t now_us = part_guard_now_us(guard);
	part_t *part;

	if (is_sound(guard, from->part, from->depth, from->last_crash_us))
		return;
	part = find_or_add_part(guard, from->part, from->depth);
	if (from->last_crash_us <= part->cleared_us ||
	    from->until_us <= part->hold_until_us)
		return;
	if (!is_held(part, now_us))
		log_warn("part_held",
			 "part=%" PRIx64 " depth=%u source=peer crashes=%u "
			 "crash_age_ms=%" PRId64 " hold_ms=%" PRId64,
			 part->id, part->depth, from->crashes,
			 (now_us - from->last_crash_us) / 1000,
			 (from->until_us - now_us) / 1000);
	part->told |= !is_held(part, now_us);
	part->certain = true;
	part->crashes = from->crashes;
	part->doublings = MIN(from->doublings, HOLD_DOUBLINGS_MAX);
	part->held_crash_us = MAX(part->held_crash_us, from->last_crash_us);
	set_hold(guard, part, MIN(from->until_us, now_us + HOLD_MAX_MS * 1000));
}

void part_guard_apply(part_guard_t *guard, const part_news_t *news)
{
	bool changed = false;

	for (uint32_t i = 0; i < news->crashes_count; i++)
		changed |= apply_crash(guard, &news->crashes[i]);
	for (uint32_t i = 0; i < news->clears_count; i++)
		changed |= apply_clear(guard, &news->clears[i]);
	/* Holds that these crashes justify are then known to be based on them. */
	if (changed)
		decide(guard);
	for (uint32_t i = 0; i < news->holds_count; i++)
		apply_hold(guard, &news->holds[i]);
}
