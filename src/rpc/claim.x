/* Data of a record of kind RECORD_CLAIM (docs/design.md 5). */

const CLAIM_ATTEMPT_BYTES = 16;

enum claim_state {
	CLAIM_STATE_CLAIMED = 1,
	CLAIM_STATE_DONE = 2,
	/* Closed as not run: may be claimed again. */
	CLAIM_STATE_ABANDONED = 3,
	CLAIM_STATE_UNKNOWN = 4
};

struct claim_data {
	claim_state state;
	bool idempotent;
	string digest<256>;
	/* The claimer: peer address, incarnation in the member table and the
	 * process's own random number. */
	string claimer<64>;
	uint64_t incarnation;
	uint64_t process;
	opaque attempt[CLAIM_ATTEMPT_BYTES];
	uint64_t changed_ms;
	/* The result, when done. */
	int status;
	string content_type<256>;
	opaque body<>;
	bool body_omitted;
};
