/* Calls to runners through another node (docs/platform.md). Each connection
 * carries one call. The caller sends RUNNER_CALL and the body in parts; the
 * other node answers RUNNER_READY, and starts the call only after RUNNER_GO. */
const RUNNER_HEADERS_MAX = 1024;
const RUNNER_TEXT_MAX = 65536;
const RUNNER_PART_MAX = 1048576;

enum runner_message_kind {
	RUNNER_CALL = 1,
	RUNNER_BODY = 2,
	RUNNER_READY = 3,
	RUNNER_REFUSED = 4,
	RUNNER_GO = 5,
	RUNNER_ANSWER = 6,
	RUNNER_DATA = 7,
	RUNNER_DONE = 8
};

struct runner_header {
	string name<RUNNER_TEXT_MAX>;
	string value<RUNNER_TEXT_MAX>;
};

struct runner_call_args {
	unsigned hyper runner; /* key of its id */
	string address<RUNNER_TEXT_MAX>;
	string instance<RUNNER_TEXT_MAX>;
	string id<RUNNER_TEXT_MAX>;
	string method<RUNNER_TEXT_MAX>;
	string target<RUNNER_TEXT_MAX>;
	string host<RUNNER_TEXT_MAX>;
	runner_header headers<RUNNER_HEADERS_MAX>;
	unsigned int body_bytes;
	int deadline_ms;
	hyper resume_after;
	bool repeatable; /* it may run again if this node ends */
};

struct runner_answer_args {
	int status;
	bool not_run;
	bool other_instance;
	bool draining; /* unused; a refusal that closes its connection */
	bool leaving;
	bool until_close;
	unsigned int slowness_percent;
	bool limit_named;
	unsigned int limit_per_1000_s;
	runner_header headers<RUNNER_HEADERS_MAX>;
};

union runner_message switch (runner_message_kind kind) {
case RUNNER_CALL:
	runner_call_args call;
case RUNNER_BODY:
case RUNNER_DATA:
	opaque part<RUNNER_PART_MAX>;
case RUNNER_ANSWER:
	runner_answer_args answer;
case RUNNER_REFUSED:
	bool runner_unknown; /* other calls may be taken */
case RUNNER_DONE:
	int outcome;
default:
	void;
};
