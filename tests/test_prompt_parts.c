#include "backend/prompt_parts.h"
#include "platform/runner_client.h"
#include "unit.h"

static prompt_parts_t decode(const char *list)
{
	GPtrArray *headers = g_ptr_array_new();
	runner_protocol_t protocol;
	prompt_parts_t parts;

	runner_client_protocol(NULL, &protocol);
	g_ptr_array_add(headers, "Model");
	g_ptr_array_add(headers, "m");
	if (list) {
		g_ptr_array_add(headers, "prompt-prefix");
		g_ptr_array_add(headers, (char *)list);
	}
	protocol.decode_parts(headers, &parts);
	g_ptr_array_unref(headers);
	return parts;
}

/* The last part belongs to the request alone and must not be held; the order of
 * the others must be kept. */
static void test_decoded_list(void)
{
	prompt_parts_t parts =
		decode("5c1e07a2:800, 91BD3F06:410,e4402b7d:250");

	CU_ASSERT_EQUAL(parts.count, 2);
	CU_ASSERT_EQUAL(parts.ids[0], 0x5c1e07a2);
	CU_ASSERT_EQUAL(parts.ids[1], 0x91bd3f06);
	CU_ASSERT_FALSE(prompt_parts_contain(&parts, 0xe4402b7d));
	CU_ASSERT_EQUAL(decode("5c1e07a2:800").count, 0);
	CU_ASSERT_EQUAL(decode("").count, 0);
	CU_ASSERT_EQUAL(decode(NULL).count, 0);
}

/* Ids that are no numbers must be distinguished, and long lists be cut. */
static void test_odd_lists(void)
{
	prompt_parts_t parts = decode("zz:1,yy:1,x:1");

	CU_ASSERT_EQUAL(parts.count, 2);
	CU_ASSERT_NOT_EQUAL(parts.ids[0], parts.ids[1]);
	parts = decode("1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1,a:1,b:1,c:1,d:1");
	CU_ASSERT_EQUAL(parts.count, PROMPT_PARTS_MAX);
	CU_ASSERT_EQUAL(parts.ids[0], 1);
}

/* A request's own id must be deeper than each part, also beside many parts. */
static void test_depth(void)
{
	prompt_parts_t parts = { 0 };

	for (uint64_t i = 0; i < PROMPT_PARTS_MAX + 3; i++)
		prompt_parts_add(&parts, i);
	prompt_parts_add_request(&parts, 77);
	CU_ASSERT_EQUAL(parts.count, PROMPT_PARTS_MAX);
	CU_ASSERT(prompt_parts_contain(&parts, 77));
	CU_ASSERT_EQUAL(prompt_parts_depth(&parts, 0), 0);
	CU_ASSERT_EQUAL(prompt_parts_depth(&parts, parts.count - 1),
			PROMPT_DEPTH_REQUEST);
}

/* The text must be cut at the end of the buffer, not beyond. */
static void test_print(void)
{
	prompt_parts_t parts = { 0 };
	char text[PROMPT_PARTS_TEXT_MAX];
	char small[5];

	prompt_parts_print(&parts, text, sizeof(text));
	CU_ASSERT_STRING_EQUAL(text, "-");
	for (int i = 0; i < PROMPT_PARTS_MAX; i++)
		prompt_parts_add(&parts, UINT64_MAX);
	prompt_parts_print(&parts, text, sizeof(text));
	CU_ASSERT_EQUAL(text[PROMPT_PARTS_MAX * 17 - 2], 'f');
	prompt_parts_print(&parts, small, sizeof(small));
	CU_ASSERT_STRING_EQUAL(small, "ffff");
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "decoded list", test_decoded_list },
		{ "odd lists", test_odd_lists },
		{ "depth", test_depth },
		{ "print", test_print },
		{ NULL, NULL },
	};

	return unit_run("prompt_parts", tests);
}
