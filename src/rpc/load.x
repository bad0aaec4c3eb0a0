/* Load datagrams between nodes (docs/platform.md). */
const LOAD_NAME_MAX = 64;
const LOAD_ENTRIES_MAX = 64;

/* Requests that the sender has at one runner. */
struct load_entry {
	unsigned hyper runner;
	unsigned int online;
	unsigned int batch;
	unsigned int slowness_percent;
	unsigned int slowness_age_ms;
};

struct load_report {
	string node<LOAD_NAME_MAX>;
	string domain<LOAD_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int batch_waiting;
	bool reaches_store;
	load_entry entries<LOAD_ENTRIES_MAX>;
};
