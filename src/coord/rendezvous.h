#ifndef WASABILINK_COORD_RENDEZVOUS_H
#define WASABILINK_COORD_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

/*
 * rendezvous - highest random weight hashing: every node that knows the same
 * candidates picks the same one for a key, and the loss of a candidate moves
 * only the keys that it had.
 */
uint64_t rendezvous_hash(const void *data, size_t len, uint64_t seed);

/* Weight of a candidate for a key; the highest weight wins. */
uint64_t rendezvous_weight(const char *candidate, const char *key);

/* The parts of rendezvous_weight(), for comparing many candidates or keys. */
uint64_t rendezvous_candidate_hash(const char *candidate);
uint64_t rendezvous_key_hash(const char *key);
uint64_t rendezvous_weight_of(uint64_t candidate_hash, uint64_t key_hash);

#endif
