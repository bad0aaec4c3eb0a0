#include <glib.h>

#include "fuzz/fuzz_target.h"
#include "unit.h"

#define CORPUS "tests/fuzz/corpus"
/* Corpora are bounded, so that CI stays fast. */
#define MAX_FILES 200

/* Runs each file whole and cut in half; returns the number of files. */
static int replay(const fuzz_target_t *target)
{
	char *folder = g_build_filename(CORPUS, target->name, NULL);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	int files = 0;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);
		char *data = NULL;
		gsize size = 0;
		gboolean read = g_file_get_contents(path, &data, &size, NULL);

		CU_ASSERT(read);
		if (read) {
			/* A copy of the exact size shows reads behind it. */
			uint8_t *exact = g_memdup2(data, size);

			target->run(exact, size);
			g_free(exact);
			exact = g_memdup2(data, size / 2);
			target->run(exact, size / 2);
			g_free(exact);
			files++;
		}
		g_free(data);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_free(folder);
	return files;
}

/* Inputs that broke a decoder, or reach far into it, must pass for ever. */
static void test_replay(void)
{
	for (const fuzz_target_t *t = fuzz_targets; t->name; t++) {
		int files = replay(t);

		CU_ASSERT(files > 0 && files <= MAX_FILES);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "replay", test_replay },
		{ NULL, NULL },
	};

	return unit_run("fuzz_corpus", tests);
}
