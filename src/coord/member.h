#ifndef WASABILINK_COORD_MEMBER_H
#define WASABILINK_COORD_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * member - the table of entry nodes that this node knows.
 *
 * A member is identified by its peer address (IP:port of its RPC listener and
 * of its membership datagrams). The failure detector writes the table. Other
 * modules only read it and look up owners by rendezvous hashing. A pointer to a
 * member is valid until the caller returns to the event loop.
 */
#define MEMBER_CONFIG_DIGEST_BYTES 32

typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* still counts as an owner, but gets no new keys */
	MEMBER_DRAINING, /* announced itself that it takes no new work */
	MEMBER_DEAD
} member_state_t;

typedef struct member {
	char *address;
	char *domain;
	member_state_t state;
	bool store_unreachable; /* as the member itself announces */
	uint64_t hash; /* rendezvous_candidate_hash() of the address */
	uint64_t incarnation;
	uint64_t config_version; /* last announced version, 0: none */
	uint8_t config_digest[MEMBER_CONFIG_DIGEST_BYTES];
} member_t;

typedef struct member_table member_table_t;

/* The table always holds the node itself. */
member_table_t *member_table_new(const char *own_address,
				 const char *own_domain);
void member_table_free(member_table_t *table);

member_t *member_self(const member_table_t *table);
member_t *member_find(const member_table_t *table, const char *address);
/* Adds an alive member, or returns the existing one unchanged. */
member_t *member_add(member_table_t *table, const char *address,
		     const char *domain);
void member_remove(member_table_t *table, const char *address);
/* All members (member_t) in no particular order, including the node itself. */
const GPtrArray *member_all(const member_table_t *table);
uint32_t member_count(const member_table_t *table, member_state_t state);

/*
 * Returns the alive member with the highest weight for the key, within the
 * domain or, with domain NULL, of all members. NULL only when no member
 * qualifies.
 */
const member_t *member_owner(const member_table_t *table, const char *domain,
			     const char *key);

const char *member_state_name(member_state_t state);

#endif
