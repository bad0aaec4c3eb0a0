#include <string.h>

#include "base/error.h"
#include "platform/settings.h"
#include "unit.h"

#define BOUNDS                                                            \
	"\"bounds\":{\"grace_s\":8,\"drain_ms\":2000,\"cancel_ms\":3000," \
	"\"quota_overage\":0.1}"
#define REST                                                         \
	"\"port_range\":[7720,7735],\"limits\":{\"memory_mb\":110}," \
	"\"platform\":{\"address\":\"10.0.0.9:80\"},\"unknown\":{\"x\":[1]}"
#define NAMES "\"node_name\":\"n1\",\"ip\":\"10.0.0.1\",\"zone\":\"z\""

static gboolean parse(const char *text, settings_t *settings, GError **error)
{
	return settings_parse(text, strlen(text), settings, error);
}

/* Members that this program does not know must be ignored. */
static void test_complete(void)
{
	settings_t settings;
	GError *error = NULL;

	CU_ASSERT(parse("{" NAMES "," REST "," BOUNDS
			",\"listen\":{\"front\":\"10.0.0.1:81\"},"
			"\"serves\":[\"edge\",\"storage\"]}",
			&settings, &error));
	CU_ASSERT_STRING_EQUAL(settings.callers, "10.0.0.1:81");
	CU_ASSERT_PTR_NULL(settings.readiness);
	CU_ASSERT_EQUAL(settings.grace_ms, 8000);
	CU_ASSERT_EQUAL(settings.peer_port, 7720);
	CU_ASSERT_EQUAL(settings.runner_hold_ms, 2000);
	CU_ASSERT(settings.keeps_disk);
	settings_clear(&settings);
}

/* A wrong setting must end the start with its name, not be guessed. */
static void test_wrong(void)
{
	static const struct {
		const char *text;
		const char *named;
	} cases[] = {
		{ "", "JSON object" },
		{ "[]", "JSON object" },
		{ "{" REST "," BOUNDS "}", "node_name" },
		{ "{" NAMES "," BOUNDS "}", "platform.address" },
		{ "{" NAMES "," REST "}", "bounds.grace_s" },
		{ "{" NAMES "," REST "," BOUNDS
		  ",\"listen\":{\"front\":\"nowhere\"}}",
		  "listen.front" },
		{ "{" NAMES "," REST "," BOUNDS
		  ",\"listen\":{\"ready\":\"1.2.3.4:99999\"}}",
		  "listen.ready" },
		{ "{" NAMES "," REST "," BOUNDS ",\"listen\":{\"front\":7}}",
		  "listen.front" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		settings_t settings;
		GError *error = NULL;

		CU_ASSERT_FALSE(parse(cases[i].text, &settings, &error));
		CU_ASSERT(g_error_matches(error, WL_ERROR, WL_ERROR_INVALID));
		CU_ASSERT_PTR_NOT_NULL(strstr(error->message, cases[i].named));
		g_error_free(error);
	}
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "complete", test_complete },
		{ "wrong", test_wrong },
		{ NULL, NULL },
	};

	return unit_run("settings", tests);
}
