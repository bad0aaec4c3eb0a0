#include "tool/job_timeline.h"
#include "unit.h"

/* What a job's lines tell; returns the text without the lines themselves. */
static char *notes_of(const char *const *lines)
{
	job_timeline_t *timeline = job_timeline_new("j1");
	GString *text = g_string_new(NULL);
	GString *notes = g_string_new(NULL);
	char **all;

	for (; *lines; lines++)
		job_timeline_add(timeline, *lines, text);
	job_timeline_end(timeline, text);
	all = g_strsplit(text->str, "\n", -1);
	for (char **line = all; *line; line++)
		if ((*line)[0] == '#')
			g_string_append_printf(notes, "%s\n", *line);
	g_strfreev(all);
	g_string_free(text, TRUE);
	job_timeline_free(timeline);
	return g_string_free(notes, FALSE);
}

static void assert_notes(const char *const *lines, const char *expected)
{
	char *notes = notes_of(lines);

	CU_ASSERT_STRING_EQUAL(notes, expected);
	g_free(notes);
}

#define ADOPTED(node, epoch, results)                                         \
	"ts=2 level=info node=" node " event=job_adopted job=j1 epoch=" epoch \
	" version=4 results=" results " resumed=0 items=5 due_ms=9"
#define NAMED(epoch, first, results)                                   \
	"ts=3 level=info node=a event=segment_named job=j1 segment=s " \
	"version=5 epoch=" epoch " first=" first " results=" results
#define SUBMITTED                                            \
	"ts=2 level=info node=a event=job_submitted job=j1 " \
	"outcome=accepted items=5 tokens=9 quota=0"
#define FINISHED "ts=3 level=info node=a event=item_finished job=j1 item=x"
#define DROPPED(node)                                             \
	"ts=4 level=info node=" node " event=job_dropped job=j1 " \
	"reason=\"done\" owner=a epoch=1 results=5 items=5"

/* The life of a job that one node runs has no gap. */
static void test_whole(void)
{
	const char *const lines[] = {
		ADOPTED("a", "1", "0"),
		SUBMITTED,
		FINISHED,
		NAMED("1", "0", "3"),
		NAMED("1", "3", "2"),
		DROPPED("a"),
		NULL,
	};

	assert_notes(lines, "# 5 of 5 positions are named, 1 items are told "
			    "finished, epoch 1\n");
}

/* Epochs, positions and ends without a line must be shown, and what comes
 * twice. */
static void test_gaps(void)
{
	const char *const lines[] = {
		ADOPTED("a", "1", "0"),
		NAMED("1", "0", "2"),
		ADOPTED("b", "4", "3"),
		NAMED("4", "2", "1"),
		"ts=5 level=info node=c event=job_read job=j1 after=0 next=5 "
		"epoch=4",
		NULL,
	};

	assert_notes(lines,
		     "# owner a, epoch 1, has no line of its end\n"
		     "# gap: epochs 2 to 3 have no line of an owner\n"
		     "# gap: positions 2 to 2 are named in no line\n"
		     "# conflict: position 2 has been named before\n"
		     "# gap: positions 3 to 4 are named in no line\n"
		     "# gap: no line tells of the job's acceptance\n"
		     "# 5 of 5 positions are named, 0 items are told finished, "
		     "epoch 4\n");
}

/* Two owners of one epoch, and results that are gone, must be shown. */
static void test_conflicts(void)
{
	const char *const lines[] = {
		SUBMITTED,    ADOPTED("a", "1", "0"), NAMED("1", "0", "2"),
		DROPPED("a"), ADOPTED("b", "1", "1"), NAMED("2", "2", "1"),
		NULL,
	};

	assert_notes(lines,
		     "# conflict: epoch 1 has been started before\n"
		     "# conflict: 1 results, and 2 are named before\n"
		     "# conflict: named in epoch 2, the last start has 1\n"
		     "# 3 of 5 positions are named, 0 items are told finished, "
		     "epoch 1\n"
		     "# owner b has no line of its end\n");
}

/* A record that names the job in lines of items only, as that of issue 41, and
 * lines of other jobs or without fields. */
static void test_no_line(void)
{
	const char *const lines[] = {
		FINISHED,
		"",
		"event=job_adopted job=j12 epoch=7",
		"ts=4 event=job_adopted job=\"j1",
		"ts=3 event= job=j1",
		NULL,
	};

	assert_notes(lines, "# no line names the job; 1 of its items are told "
			    "finished\n");
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "whole", test_whole },
		{ "gaps", test_gaps },
		{ "conflicts", test_conflicts },
		{ "no line", test_no_line },
		{ NULL, NULL },
	};

	return unit_run("job_timeline", tests);
}
