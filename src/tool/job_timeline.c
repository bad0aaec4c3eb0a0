#include "tool/job_timeline.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

struct job_timeline {
	char *job;
	char *owner; /* node that has started the job last; NULL: none */
	uint64_t epoch; /* of that start; 0: none yet */
	uint64_t named; /* positions that have a result */
	uint64_t items; /* of the job; 0: not known */
	uint64_t items_finished;
	bool accepted;
	bool ended;
	bool empty; /* no line of the job came yet */
};

job_timeline_t *job_timeline_new(const char *job)
{
	job_timeline_t *timeline = g_new0(job_timeline_t, 1);

	timeline->job = g_strdup(job);
	timeline->empty = true;
	return timeline;
}

void job_timeline_free(job_timeline_t *timeline)
{
	g_free(timeline->job);
	g_free(timeline->owner);
	g_free(timeline);
}

/* Returns the value of a field, without quotes; NULL without one, or when the line
 * is cut off in it. */
static char *field_of(const char *line, const char *name)
{
	char *key = g_strdup_printf(" %s=", name);
	const char *found = strstr(line, key);
	const char *value = found ? found + strlen(key) : NULL;

	g_free(key);
	if (!value)
		return NULL;
	if (*value == '"') {
		const char *end = strchr(value + 1, '"');

		return end ? g_strndup(value + 1, (gsize)(end - value - 1)) :
			     NULL;
	}
	return g_strndup(value, strcspn(value, " \n"));
}

/* Returns 0 for a field that is missing or no number. */
static uint64_t number_of(const char *line, const char *name)
{
	char *text = field_of(line, name);
	uint64_t number = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	g_free(text);
	return number;
}

static void note(GString *text, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void note(GString *text, const char *format, ...)
{
	va_list args;

	g_string_append(text, "# ");
	va_start(args, format);
	g_string_append_vprintf(text, format, args);
	va_end(args);
	g_string_append_c(text, '\n');
}

/* Results stand at the positions below the number, as a line tells. */
static void note_positions(job_timeline_t *timeline, uint64_t positions,
			   GString *text)
{
	if (positions > timeline->named)
		note(text,
		     "gap: positions %" G_GUINT64_FORMAT
		     " to %" G_GUINT64_FORMAT " are named in no line",
		     timeline->named, positions - 1);
	timeline->named = MAX(timeline->named, positions);
}

static void on_submitted(job_timeline_t *timeline, const char *line,
			 GString *text)
{
	char *outcome = field_of(line, "outcome");

	if (g_strcmp0(outcome, "accepted") == 0) {
		timeline->accepted = true;
		timeline->items = number_of(line, "items");
	}
	g_free(outcome);
}

static void on_adopted(job_timeline_t *timeline, const char *line,
		       GString *text)
{
	uint64_t epoch = number_of(line, "epoch");
	uint64_t results = number_of(line, "results");
	char *node = field_of(line, "node");

	timeline->items = MAX(timeline->items, number_of(line, "items"));
	if (timeline->owner && g_strcmp0(timeline->owner, node) != 0)
		note(text,
		     "owner %s, epoch %" G_GUINT64_FORMAT
		     ", has no line of its end",
		     timeline->owner, timeline->epoch);
	if (epoch > timeline->epoch + 1)
		note(text,
		     "gap: epochs %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
		     " have no line of an owner",
		     timeline->epoch + 1, epoch - 1);
	else if (epoch <= timeline->epoch)
		note(text,
		     "conflict: epoch %" G_GUINT64_FORMAT
		     " has been started before",
		     epoch);
	if (results < timeline->named)
		note(text,
		     "conflict: %" G_GUINT64_FORMAT
		     " results, and %" G_GUINT64_FORMAT " are named before",
		     results, timeline->named);
	note_positions(timeline, results, text);
	timeline->epoch = MAX(timeline->epoch, epoch);
	g_free(timeline->owner);
	timeline->owner = node;
}

static void on_named(job_timeline_t *timeline, const char *line, GString *text)
{
	uint64_t first = number_of(line, "first");
	uint64_t epoch = number_of(line, "epoch");

	if (first < timeline->named)
		note(text,
		     "conflict: position %" G_GUINT64_FORMAT
		     " has been named before",
		     first);
	if (epoch != timeline->epoch)
		note(text,
		     "conflict: named in epoch %" G_GUINT64_FORMAT
		     ", the last start has %" G_GUINT64_FORMAT,
		     epoch, timeline->epoch);
	note_positions(timeline, first, text);
	timeline->named =
		MAX(timeline->named, first + number_of(line, "results"));
}

static void on_dropped(job_timeline_t *timeline, const char *line,
		       GString *text)
{
	char *node = field_of(line, "node");

	if (g_strcmp0(node, timeline->owner) == 0)
		g_clear_pointer(&timeline->owner, g_free);
	g_free(node);
}

static void on_read(job_timeline_t *timeline, const char *line, GString *text)
{
	note_positions(timeline, number_of(line, "next"), text);
}

static void on_ended(job_timeline_t *timeline, const char *line, GString *text)
{
	timeline->ended |= number_of(line, "found") > 0;
}

static void on_other(job_timeline_t *timeline, const char *line, GString *text)
{
}

typedef struct event {
	const char *name;
	void (*handle)(job_timeline_t *timeline, const char *line,
		       GString *text);
} event_t;

static const event_t events[] = {
	{ "job_submitted", on_submitted },
	{ "job_assigned", on_other },
	{ "job_exists", on_other },
	{ "job_adopted", on_adopted },
	{ "job_already_owned", on_other },
	{ "job_takeover", on_other },
	{ "takeover_abandoned", on_other },
	{ "takeover_unconfirmed", on_other },
	{ "job_write_failed", on_other },
	{ "job_unreadable", on_other },
	{ "job_dropped", on_dropped },
	{ "job_end", on_ended },
	{ "job_read", on_read },
	{ "segment_named", on_named },
	{ "segment_key_taken", on_other },
	{ "segment_mismatch", on_other },
	{ "segment_unread", on_other },
};

static const event_t *find_event(const char *line)
{
	char *name = field_of(line, "event");
	const event_t *found = NULL;

	for (size_t i = 0; name && i < G_N_ELEMENTS(events); i++)
		if (strcmp(events[i].name, name) == 0)
			found = &events[i];
	g_free(name);
	return found;
}

static void add_item(job_timeline_t *timeline, const char *line)
{
	char *name = field_of(line, "event");

	if (g_strcmp0(name, "item_finished") == 0)
		timeline->items_finished++;
	g_free(name);
}

void job_timeline_add(job_timeline_t *timeline, const char *line, GString *text)
{
	char *job = field_of(line, "job");
	const event_t *event = find_event(line);

	if (g_strcmp0(job, timeline->job) != 0) {
		g_free(job);
		return;
	}
	g_free(job);
	if (!event) {
		add_item(timeline, line);
		return;
	}
	g_string_append_printf(text, "%s\n", line);
	event->handle(timeline, line, text);
	timeline->empty = false;
}

void job_timeline_end(const job_timeline_t *timeline, GString *text)
{
	if (timeline->empty) {
		note(text,
		     "no line names the job; %" G_GUINT64_FORMAT
		     " of its items are told finished",
		     timeline->items_finished);
		return;
	}
	if (!timeline->accepted)
		note(text, "gap: no line tells of the job's acceptance");
	note(text,
	     "%" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	     " positions are named, %" G_GUINT64_FORMAT
	     " items are told finished, epoch %" G_GUINT64_FORMAT "%s",
	     timeline->named, timeline->items, timeline->items_finished,
	     timeline->epoch, timeline->ended ? ", ended by its caller" : "");
	if (timeline->owner && timeline->named < timeline->items)
		note(text, "owner %s has no line of its end", timeline->owner);
}
