#include <string.h>

#include "http/http_client.h"
#include "unit.h"

typedef struct outcome {
	struct event_base *base;
	int calls;
	bool returned; /* http_call_start() has returned */
	bool early;
	http_outcome_t outcome;
} outcome_t;

static void on_done(const http_answer_t *answer, void *user_data)
{
	outcome_t *outcome = user_data;

	outcome->calls++;
	outcome->early = !outcome->returned;
	outcome->outcome = answer->outcome;
	event_base_loopbreak(outcome->base);
}

static outcome_t call(const char *address)
{
	outcome_t outcome = { .base = event_base_new() };
	http_client_t *client = http_client_new(outcome.base);
	const http_request_options_t options = {
		.method = "GET",
		.address = address,
		.target = "/",
		.timeout_ms = 5000,
		.on_done = on_done,
		.user_data = &outcome,
	};

	http_call_start(client, &options);
	outcome.returned = true;
	event_base_dispatch(outcome.base);
	http_client_free(client);
	event_base_free(outcome.base);
	return outcome;
}

/*
 * connect() to the broadcast address fails at once. evhttp then reports the
 * failure from inside the start of the request; the call was freed there and
 * used afterwards.
 */
static void test_connect_that_fails_at_once(void)
{
	outcome_t outcome = call("255.255.255.255:9");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_FALSE(outcome.early);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
}

/* A refused connection must be told from one that broke later. */
static void test_refused_connection(void)
{
	outcome_t outcome = call("127.0.0.1:1");

	CU_ASSERT_EQUAL(outcome.calls, 1);
	CU_ASSERT_EQUAL(outcome.outcome, HTTP_NOT_SENT);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "connect that fails at once",
		  test_connect_that_fails_at_once },
		{ "refused connection", test_refused_connection },
		{ NULL, NULL },
	};

	return unit_run("http_client_connect", tests);
}
