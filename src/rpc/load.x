/* Load datagrams between nodes (docs/platform.md). */
const LOAD_NAME_MAX = 64;
const LOAD_ENTRIES_MAX = 64;
const LOAD_LIMITS_MAX = 32;
const LOAD_LEAVING_MAX = 32;
const LOAD_URGENCIES = 9;

/* Requests that the sender has at one runner. */
struct load_entry {
	unsigned hyper runner;
	unsigned int online;
	unsigned int batch;
	unsigned int slowness_percent;
	unsigned int slowness_age_ms;
};

/* Requests that a runner has lost lately, in hundredths. */
struct load_failure {
	unsigned hyper runner;
	unsigned int percent;
};

/* What a runner asks for, and how many requests the sender has sent to it since
 * it knows of the limit. */
struct load_limit {
	unsigned hyper runner;
	bool named;
	unsigned int per_1000_s;
	unsigned int age_ms;
	unsigned int sent;
};

/* A runner that said that it leaves. */
struct load_leaving {
	unsigned hyper runner;
	hyper started_ms; /* tells it from a later process with its id */
};

struct load_report {
	string node<LOAD_NAME_MAX>;
	string domain<LOAD_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	/* Batch items that look for a place, the most urgent first. */
	unsigned int batch_waiting[LOAD_URGENCIES];
	bool reaches_store;
	load_entry entries<LOAD_ENTRIES_MAX>;
	load_failure failures<LOAD_ENTRIES_MAX>;
	load_limit limits<LOAD_LIMITS_MAX>;
	load_leaving leaving<LOAD_LEAVING_MAX>;
};

/* Follows a report in its datagram. */
const LOAD_LOST_MAX = 16;

struct load_contact {
	/* Hashes of the domains whose runners the sender cannot connect to. */
	unsigned hyper lost<LOAD_LOST_MAX>;
	/* Where the sender takes calls to runners for other nodes; 0: it takes
	 * none now. */
	unsigned int relay_port;
	unsigned int relay_calls; /* in progress for other nodes */
	bool relay_draining; /* the sender stops soon */
	/* It takes only calls that may run again. */
	bool relay_repeatable_only;
};

/* Batch items that look for a place at one service. */
struct load_demand {
	unsigned hyper service; /* hash of its name */
	unsigned int batch_waiting[LOAD_URGENCIES];
};

/* Follows the contact in a report's datagram, if there is room. */
const LOAD_DEMANDS_MAX = 16;

struct load_demands {
	load_demand demands<LOAD_DEMANDS_MAX>;
};

/* What the sender knows by its own calls of a view of the store: as of age_ms
 * ago, the last change has a revision between the two. */
struct load_view_news {
	unsigned hyper view; /* hash of the prefix of its objects */
	unsigned hyper change_min;
	unsigned hyper change_max;
	unsigned int age_ms;
};

/* Follows the demands in a report's datagram, if there is room. */
const LOAD_VIEWS_MAX = 8;

struct load_views {
	hyper sent_us; /* by the sender's clock; counts suspensions of its VM */
	load_view_news views<LOAD_VIEWS_MAX>;
};
