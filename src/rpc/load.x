/* Load datagrams between nodes (docs/platform.md). */
const LOAD_NAME_MAX = 64;
const LOAD_ENTRIES_MAX = 64;
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
};
