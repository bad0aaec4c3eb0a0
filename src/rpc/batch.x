/* Messages of the services chunk and runner (docs/design.md 9 and 12). */

const BATCH_TEXT_MAX = 255;
const BATCH_SUSPECTS_MAX = 256;
const BATCH_OFFERS_MAX = 256;

struct batch_suspect {
	unsigned int item;
	unsigned int tries;
	unsigned int deaths;
};

typedef batch_suspect batch_suspects<BATCH_SUSPECTS_MAX>;

struct chunk_pull_args {
	string holder<BATCH_TEXT_MAX>;
	string partner<BATCH_TEXT_MAX>;
	string deployment<BATCH_TEXT_MAX>;
};

struct chunk_grant {
	string job<BATCH_TEXT_MAX>;
	string input_file_id<BATCH_TEXT_MAX>;
	unsigned int part;
	unsigned int line;
	unsigned int first;
	unsigned int count;
	hyper slack_ms;
	batch_suspects suspects;
};

struct chunk_pull_result {
	chunk_grant grants<1>;
};

struct chunk_renew_args {
	string holder<BATCH_TEXT_MAX>;
	string job<BATCH_TEXT_MAX>;
	unsigned int first;
	batch_suspects suspects;
};

/* status is a lease_status_t. */
struct chunk_renew_result {
	unsigned int status;
};

/* count 0: the chunk is handed back. */
struct chunk_done_args {
	string holder<BATCH_TEXT_MAX>;
	string job<BATCH_TEXT_MAX>;
	unsigned int first;
	unsigned int count;
	unsigned int completed;
	unsigned int failed;
	batch_suspects suspects;
};

struct chunk_done_result {
	bool ok;
};

struct chunk_offer {
	string partner<BATCH_TEXT_MAX>;
	string deployment<BATCH_TEXT_MAX>;
	unsigned int waiting;
	hyper slack_ms;
};

/* Tells a dispatcher where chunks wait, so that it polls nobody. */
struct chunk_offer_args {
	string coordinator<BATCH_TEXT_MAX>;
	chunk_offer offers<BATCH_OFFERS_MAX>;
};

struct chunk_offer_result {
	bool ok;
};

/* Online requests that the sender has in flight on the runner. */
struct runner_pressure_args {
	string sender<BATCH_TEXT_MAX>;
	string runner<BATCH_TEXT_MAX>;
	unsigned int in_flight;
};

struct runner_pressure_result {
	bool ok;
};

const CHUNK_PROGRAM = 0x20000773;
const CHUNK_PULL = 1;
const CHUNK_RENEW = 2;
const CHUNK_DONE = 3;
const CHUNK_OFFER = 4;

const RUNNER_PROGRAM = 0x20000775;
const RUNNER_PRESSURE = 1;
