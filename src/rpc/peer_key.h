#ifndef WASABILINK_RPC_PEER_KEY_H
#define WASABILINK_RPC_PEER_KEY_H

#include <glib.h>
#include <stdint.h>

/*
 * peer_key - the keys that the nodes of a fleet share, and HMAC-SHA-256
 * (RFC 2104) with them over what they send each other.
 *
 * The key file has one key a line, one or two of them, each of at least
 * PEER_KEY_MIN_BYTES. The first key signs, all of them verify, so that keys
 * are exchanged without a node that does not know the other's key.
 */
#define PEER_KEY_MIN_BYTES 32
#define PEER_KEY_MAX_BYTES 1024
#define PEER_KEY_MAC_BYTES 32
#define PEER_KEY_NONCE_BYTES 16

typedef struct peer_key peer_key_t;

typedef struct peer_key_part {
	const void *data;
	size_t len;
} peer_key_part_t;

/* Errors: WL_ERROR_INVALID, the message names what is wrong and no key. */
peer_key_t *peer_key_new(const char *text, size_t len, GError **error);
peer_key_t *peer_key_load(const char *path, GError **error);
void peer_key_free(peer_key_t *key);

/* Takes over the keys of the file if it has changed. On an error the keys stay
 * as they are. Returns TRUE when they were replaced. */
gboolean peer_key_reload(peer_key_t *key, const char *path, GError **error);

/* label keeps the uses of a key apart; each part's length is covered too. */
void peer_key_sign(const peer_key_t *key, const char *label,
		   const peer_key_part_t *parts, size_t count, uint8_t *mac);
/* Compares in constant time. */
gboolean peer_key_verify(const peer_key_t *key, const char *label,
			 const peer_key_part_t *parts, size_t count,
			 const uint8_t *mac);

/* Where messages that do not verify are counted; may be NULL. */
void peer_key_count_in(peer_key_t *key, int64_t *failures);
/* Counts such a message, and logs at most one a second. */
void peer_key_refused(peer_key_t *key, const char *kind, const char *from);

void peer_key_nonce(uint8_t *nonce);

#endif
