/* Membership datagrams (docs/design.md, membership). */
const MEMBER_NAME_MAX = 64;
const MEMBER_DIGEST_BYTES = 32;
const MEMBER_UPDATES_MAX = 256;

/* Beside the state of an update: the member does not reach the store. */
const MEMBER_NO_STORE_FLAG = 256;

enum member_kind {
	MEMBER_PING = 1,
	MEMBER_ACK = 2,
	MEMBER_PING_REQUEST = 3,
	MEMBER_NACK = 4,
	MEMBER_GOSSIP = 5,
	MEMBER_SYNC = 6,
	MEMBER_TABLE = 7
};

struct member_update {
	string address<MEMBER_NAME_MAX>;
	string domain<MEMBER_NAME_MAX>;
	unsigned int state;
	unsigned hyper incarnation;
};

struct member_message {
	unsigned int fleet;
	member_kind kind;
	unsigned int sequence;
	string target<MEMBER_NAME_MAX>;
	member_update sender;
	unsigned hyper config_version;
	opaque config_digest[MEMBER_DIGEST_BYTES];
	member_update updates<MEMBER_UPDATES_MAX>;
};
