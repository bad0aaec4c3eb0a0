/* Calls of the object store on behalf of another node, and records of batch
 * jobs from their owner (docs/platform.md). */
const PEER_PROGRAM = 0x20000778;
const PEER_STORE_CALL = 1;
const PEER_JOB_RECORD = 2;
const PEER_JOB_SEGMENT = 3;

const STORE_KEY_MAX = 1024;
const STORE_WRITER_MAX = 256;
const STORE_DATA_MAX = 2097152;
const STORE_ENTRIES_MAX = 2000;

enum store_operation {
	STORE_GET = 1,
	STORE_PUT = 2,
	STORE_REMOVE = 3,
	STORE_LIST = 4,
	STORE_WATCH = 5
};

/* revision is the condition of a write, or what a watch starts
 * from; key is a prefix for lists and watches. */
struct store_call_args {
	store_operation operation;
	bool stale;
	string key<STORE_KEY_MAX>;
	string after<STORE_KEY_MAX>;
	string writer<STORE_WRITER_MAX>;
	unsigned hyper revision;
	unsigned int limit;
	int timeout_ms;
	opaque data<STORE_DATA_MAX>;
};

struct store_call_entry {
	string key<STORE_KEY_MAX>;
	unsigned hyper revision;
	bool deleted;
	string data<STORE_DATA_MAX>;
};

/* error is 0, or a code of WL_ERROR plus 1. */
struct store_call_result {
	unsigned int error;
	bool has_value;
	string writer<STORE_WRITER_MAX>;
	unsigned hyper revision;
	bool more;
	string data<STORE_DATA_MAX>;
	store_call_entry entries<STORE_ENTRIES_MAX>;
};

/* The id of a job, or the key of a segment. */
struct store_job_args {
	string name<STORE_KEY_MAX>;
};

/* The object's text; empty when the receiver does not have it. */
struct store_job_result {
	string text<STORE_DATA_MAX>;
};
