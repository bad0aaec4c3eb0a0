#include "entry/operator.h"

#include <string.h>

#include "unit.h"

static const char text[] =
	"{\"partners\":{"
	"\"guild\":{\"workspaces\":{\"workshop-1\":{},\"shared\":{}},"
	"\"deployments\":{\"muse\":{\"model\":\"m\",\"version\":\"1\"}}},"
	"\"gravel\":{\"workspaces\":{\"ennis\":{},\"shared\":{}},"
	"\"services\":{\"map\":{\"routes\":[]}}}}}";

/* The timeline of one partner must not contain log lines about another one. */
static void test_lines_of_other_partners(void)
{
	static const struct {
		const char *line;
		bool foreign;
	} cases[] = {
		{ "ts=1 level=info node=e1 event=member state=alive", false },
		{ "ts=1 event=admitted partner=guild deployment=muse", false },
		{ "ts=1 event=admitted partner=gravel", true },
		{ "ts=1 event=admitted workspace=ennis", true },
		{ "ts=1 event=routed service=\"map\"", true },
		{ "ts=1 event=job owner=gravel/ennis", true },
		{ "ts=1 event=job owner=guild/workshop-1", false },
		{ "ts=1 event=job message=\"in workspace 'ennis'\"", true },
		/* A name that both partners use does not identify either. */
		{ "ts=1 event=admitted workspace=shared", false },
	};
	document_t *document = document_parse(text, strlen(text), NULL);
	const document_partner_t *guild;

	CU_ASSERT_FATAL(document != NULL);
	guild = document_find_partner(document, "guild");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(operator_line_names_other_partner(
					document, guild, cases[i].line),
				cases[i].foreign);
	document_unref(document);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "lines of other partners", test_lines_of_other_partners },
		{ NULL, NULL },
	};

	return unit_run("operator", tests);
}
