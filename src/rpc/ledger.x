/* Stored form of the ledger and its messages between entry nodes
 * (docs/design.md 5 and 12). */

const LEDGER_KEY_BYTES = 16;
const LEDGER_TOKEN_BYTES = 16;
/* Newest first: update tokens that a record remembers. */
const LEDGER_TOKENS_BYTES = 48;
const LEDGER_FORMAT = 1;

struct ledger_record {
	opaque key[LEDGER_KEY_BYTES];
	unsigned int kind;
	uint64_t revision;
	uint64_t expire_ms;
	string owner_tag<256>;
	opaque data<>;
	opaque tokens[LEDGER_TOKENS_BYTES];
};

/* Fingerprints are the first 32 bits of the keys, ascending. */
struct ledger_segment_ref {
	uint64_t id;
	unsigned int kind;
	uint64_t sealed_ms;
	uint64_t expire_ms;
	unsigned int fingerprints<>;
};

/* Object shard/<n>. */
struct ledger_head {
	unsigned int format;
	string owner<64>;
	uint64_t epoch;
	uint64_t sequence;
	bool released;
	/* Index objects may still list older segments; these are removed. */
	uint64_t first_segment;
	ledger_record records<>;
	ledger_segment_ref segments<>;
	uint64_t indexes<>;
};

/* Object segment/<n>/<id>, in key order. */
struct ledger_segment {
	unsigned int format;
	ledger_record records<>;
};

/* Object index/<n>/<id>. */
struct ledger_index {
	unsigned int format;
	ledger_segment_ref segments<>;
};

const LEDGER_PROGRAM = 0x20000771;
const LEDGER_CLAIM = 1;
const LEDGER_RECORD = 2;
const LEDGER_READ = 3;
const LEDGER_LIST = 4;

enum ledger_answer {
	LEDGER_ANSWER_OK = 0,
	LEDGER_ANSWER_CONFLICT = 1,
	LEDGER_ANSWER_NOT_FOUND = 2,
	LEDGER_ANSWER_TOO_LARGE = 3,
	LEDGER_ANSWER_UNAVAILABLE = 4,
	LEDGER_ANSWER_TIMEOUT = 5,
	LEDGER_ANSWER_NOT_OWNER = 6
};

/* CLAIM creates a record, RECORD changes one; revision is the expected one. */
struct ledger_update_args {
	unsigned int shards;
	ledger_record update;
	opaque token[LEDGER_TOKEN_BYTES];
	int timeout_ms;
};

struct ledger_read_args {
	unsigned int shards;
	opaque key[LEDGER_KEY_BYTES];
	int timeout_ms;
};

/* record has at most one element; hint is the owner that the peer knows. */
struct ledger_result {
	ledger_answer answer;
	ledger_record records<1>;
	string hint<64>;
};

struct ledger_list_args {
	unsigned int shards;
	unsigned int shard;
	unsigned int kind;
	string owner_tag<256>;
	opaque after[LEDGER_KEY_BYTES];
	bool from_start;
};

/* One page; more tells that another one follows after the last record. */
struct ledger_list_result {
	ledger_answer answer;
	ledger_record records<>;
	bool more;
	string hint<64>;
};
