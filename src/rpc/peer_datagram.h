#ifndef WASABILINK_RPC_PEER_DATAGRAM_H
#define WASABILINK_RPC_PEER_DATAGRAM_H

#include "base/clock.h"
#include "rpc/peer_key.h"

/*
 * peer_datagram - authentic datagrams between nodes that share a key.
 *
 * A trailer holds a stamp and an HMAC over the payload, the stamp and the
 * receiver's address. Stamps of a sender increase, also from one process to
 * the next at its address: they start at the wall clock in microseconds. A
 * receiver keeps the highest PEER_DATAGRAM_WINDOW stamps of each sender and
 * takes none twice and none below them.
 */
#define PEER_DATAGRAM_TRAILER_BYTES (8 + PEER_KEY_MAC_BYTES)
#define PEER_DATAGRAM_WINDOW 32
/* A sender's stamps are forgotten after this silence. */
#define PEER_DATAGRAM_KEEP_MS 60000

typedef struct peer_datagram peer_datagram_t;

peer_datagram_t *peer_datagram_new(peer_key_t *key,
				   const clock_source_t *clock);
void peer_datagram_free(peer_datagram_t *datagram);

/* Appends the trailer, for which data has room, and returns the new length. */
size_t peer_datagram_seal(peer_datagram_t *datagram, const char *receiver,
			  char *data, size_t len);
/* Takes off the trailer and returns its stamp. FALSE: not authentic. */
gboolean peer_datagram_open(const peer_datagram_t *datagram,
			    const char *receiver, const char *data, size_t *len,
			    uint64_t *stamp);
/* FALSE for a datagram that came before, or is too late to tell. */
gboolean peer_datagram_is_new(peer_datagram_t *datagram, const char *sender,
			      uint64_t stamp);

#endif
