/* Datagrams about the software version at which streams began
 * (docs/platform.md). */
const ORIGIN_REPORT_MAGIC = 0x574f5231;

enum origin_kind {
	ORIGIN_TELL = 0, /* a stream has begun */
	ORIGIN_ASK = 1, /* the receiver is to answer with what it knows */
	ORIGIN_ANSWER = 2
};

struct origin_report {
	/* Tells these datagrams from others. */
	unsigned int magic;
	origin_kind kind;
	unsigned hyper stream;
	unsigned hyper software; /* 0: not known, or asked for */
	unsigned int life_ms; /* for which it is to be kept */
};
