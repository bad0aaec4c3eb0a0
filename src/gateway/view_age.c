#include "gateway/view_age.h"

#include <math.h>

/* Time for a view's own watch to bring the change that others have told. */
#define BEHIND_GRACE_MS 150
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400
/* News is older than it seems by its time on the way. */
#define TRANSIT_MS 1000
/* Bounds of the time for which news that a view is behind is not believed, after
 * a check has found that it was not. */
#define DISBELIEF_MIN_MS 500
#define DISBELIEF_MAX_MS 30000

void view_age_init(view_age_t *age, const clock_source_t *clock, GRand *random)
{
	*age = (view_age_t){ .clock = clock, .random = random };
}

static void confirm(view_age_t *age, int64_t as_of_us)
{
	if (as_of_us <= age->confirmed_us)
		return;
	age->confirmed_us = as_of_us;
	age->draw = g_rand_double(age->random);
}

/* Addition to the time of the next check. Its density grows exponentially: about
 * one of any number of nodes draws a time before the first one's news have
 * reached the others. */
static int64_t spread_us(const view_age_t *age)
{
	double growth = 1 + log(MAX(age->nodes, 1));

	return (int64_t)(log1p(age->draw * expm1(growth)) / growth *
			 VIEW_AGE_SPREAD_MS * 1000);
}

/* An own call that began at the time tells that the view has all changes. */
static void confirm_own(view_age_t *age, int64_t started_us)
{
	age->own_us = MAX(age->own_us, started_us);
	confirm(age, started_us);
	age->retry_ms = 0;
	age->retry_at_us = 0;
}

/* Compares what was told with the revision of an answer to a call that began at
 * the time. */
static void review_told(view_age_t *age, int64_t started_us)
{
	if (!age->told)
		return;
	if (age->told <= age->revision) {
		age->disbelief_ms = 0;
	} else {
		if (started_us < age->told_us)
			return;
		age->disbelief_ms = CLAMP(age->disbelief_ms * 2,
					  DISBELIEF_MIN_MS, DISBELIEF_MAX_MS);
		age->believe_at_us = clock_elapsed_us(age->clock) +
				     age->disbelief_ms * (int64_t)1000;
	}
	age->told = 0;
}

void view_age_listed(view_age_t *age, int64_t started_us,
		     const view_changes_t *changes)
{
	/* An object that is gone by now leaves no trace in a listing. */
	age->change_min = MAX(age->change_min, changes->last);
	age->revision = MAX(age->revision, changes->revision);
	age->change_max = age->revision;
	age->change_max_us = clock_elapsed_us(age->clock);
	confirm_own(age, started_us);
	review_told(age, started_us);
}

void view_age_watched(view_age_t *age, int64_t started_us,
		      const view_changes_t *changes)
{
	uint64_t known = age->revision;

	age->revision = MAX(known, changes->revision);
	if (changes->removals) {
		age->change_min = MAX(known + 1, changes->last);
		age->change_max = age->revision;
		age->change_max_us = clock_elapsed_us(age->clock);
	} else if (changes->last > 0) {
		age->change_min = MAX(age->change_min, changes->last);
		age->change_max = age->change_min;
	}
	confirm_own(age, started_us);
	review_told(age, started_us);
}

void view_age_check_failed(view_age_t *age)
{
	age->retry_ms = CLAMP(age->retry_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
	age->retry_at_us =
		clock_elapsed_us(age->clock) + age->retry_ms * (int64_t)1000;
}

void view_age_set_nodes(view_age_t *age, uint32_t nodes)
{
	age->nodes = nodes;
}

void view_age_told(view_age_t *age, const view_news_t *news)
{
	int64_t now_us = clock_elapsed_us(age->clock);

	if (!age->revision || news->change_min > news->change_max)
		return;
	if (news->change_min > age->revision) {
		if (now_us < age->believe_at_us)
			return;
		if (!age->told)
			age->told_us = now_us;
		age->told = MAX(age->told, news->change_min);
		return;
	}
	if (news->change_max <= age->revision)
		confirm(age, MIN(news->as_of_us, now_us));
	/* What holds for a later time held when change_max was found. */
	if (news->as_of_us - TRANSIT_MS * 1000 >= age->change_max_us &&
	    news->change_max < age->change_max)
		age->change_max = MAX(news->change_max, age->change_min);
}

bool view_age_news(const view_age_t *age, view_news_t *news)
{
	if (!age->own_us)
		return false;
	*news = (view_news_t){ age->change_min, age->change_max, age->own_us };
	return true;
}

bool view_age_is_behind(const view_age_t *age)
{
	return age->told > age->revision;
}

bool view_age_is_stale(const view_age_t *age)
{
	return clock_elapsed_us(age->clock) - age->confirmed_us >
	       VIEW_AGE_STALE_MS * (int64_t)1000;
}

int64_t view_age_check_us(const view_age_t *age, int64_t waiting_since_us)
{
	int64_t due_us =
		age->confirmed_us + VIEW_AGE_CHECK_MS * 1000 + spread_us(age);

	if (view_age_is_behind(age))
		due_us = MIN(due_us, MAX(age->told_us, waiting_since_us) +
					     BEHIND_GRACE_MS * 1000);
	return MAX(due_us, age->retry_at_us);
}
