#include "backend/request_digest.h"
#include "unit.h"

static request_content_t content(void)
{
	return (request_content_t){ "POST", "h", "/a/b", NULL, "body", 4 };
}

/* A repeated request must be recognized although its id has changed; sound ones
 * that differ in one respect must not be taken for it. */
static void test_what_is_covered(void)
{
	const request_content_t first = content();
	request_content_t other = content();
	const uint64_t digest = request_digest(&first);

	CU_ASSERT_EQUAL(request_digest(&other), digest);
	other.method = "PUT";
	CU_ASSERT_NOT_EQUAL(request_digest(&other), digest);
	other = content();
	other.host = "i";
	CU_ASSERT_NOT_EQUAL(request_digest(&other), digest);
	other = content();
	other.target = "/a/c";
	CU_ASSERT_NOT_EQUAL(request_digest(&other), digest);
	other = content();
	other.caller = "Bearer k";
	CU_ASSERT_NOT_EQUAL(request_digest(&other), digest);
	other = content();
	other.body = "bodz";
	CU_ASSERT_NOT_EQUAL(request_digest(&other), digest);
}

/* The end of one field must not count as the start of the next. */
static void test_fields_are_separate(void)
{
	request_content_t first = content();
	request_content_t other = content();

	first.host = "ab";
	first.target = "/c";
	other.host = "a";
	other.target = "b/c";
	CU_ASSERT_NOT_EQUAL(request_digest(&first), request_digest(&other));
}

/* A request without a body must have a digest, too. */
static void test_empty_body(void)
{
	request_content_t empty = content();

	empty.body = NULL;
	empty.body_len = 0;
	CU_ASSERT_NOT_EQUAL(request_digest(&empty), 0);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "what is covered", test_what_is_covered },
		{ "fields are separate", test_fields_are_separate },
		{ "empty body", test_empty_body },
		{ NULL, NULL },
	};

	return unit_run("request_digest", tests);
}
