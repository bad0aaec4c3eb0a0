/* Datagrams about prompt parts that crash runners (docs/platform.md). Ages are
 * in milliseconds. */
const PART_REPORT_MAGIC = 0x57505231;
const PART_CRASHES_MAX = 4;
const PART_SUSPECTS_MAX = 24;
const PART_CLEARS_MAX = 32;
const PART_HOLDS_MAX = 16;

struct part_suspect_entry {
	unsigned hyper part;
	unsigned int depth;
	bool running;
};

/* A runner that has ended, and what it was about to answer. */
struct part_crash_entry {
	unsigned hyper runner;
	unsigned int age_ms;
	bool survived;
	part_suspect_entry suspects<PART_SUSPECTS_MAX>;
};

/* A part with which a runner has begun to answer. */
struct part_clear_entry {
	unsigned hyper part;
	unsigned int age_ms;
};

struct part_hold_entry {
	unsigned hyper part;
	unsigned int depth;
	unsigned int crashes;
	unsigned int doublings;
	unsigned int crash_age_ms;
	unsigned int remaining_ms;
};

struct part_report {
	/* Tells these datagrams from load reports. */
	unsigned int magic;
	part_crash_entry crashes<PART_CRASHES_MAX>;
	part_clear_entry clears<PART_CLEARS_MAX>;
	part_hold_entry holds<PART_HOLDS_MAX>;
};
