/* Fetch of the configuration document from a peer (docs/design.md,
 * configuration). The edits turn the document that the caller has into the
 * answered one; document_version 0 means that the peer has none. */
const CONFIG_DIGEST_BYTES = 32;

struct config_edit {
	unsigned int offset;
	unsigned int length;
	opaque insert<>;
};

struct config_fetch_args {
	unsigned hyper have_version;
	opaque have_digest[CONFIG_DIGEST_BYTES];
};

struct config_fetch_result {
	unsigned hyper document_version;
	opaque digest[CONFIG_DIGEST_BYTES];
	bool whole;
	config_edit edits<>;
};

/* Object config-change/<env>: what turns the base into the document at to. */
struct config_change {
	unsigned hyper base_version;
	opaque base_digest[CONFIG_DIGEST_BYTES];
	config_fetch_result to;
};

program CONFIG_PROGRAM {
	version CONFIG_VERSION {
		config_fetch_result CONFIG_FETCH(config_fetch_args) = 1;
	} = 1;
} = 0x20000774;
