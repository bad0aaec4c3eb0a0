#include "coord/rendezvous.h"

#include <string.h>

/* Finalizer of SplitMix64: every input bit affects every output bit. */
static uint64_t mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

uint64_t rendezvous_hash(const void *data, size_t len, uint64_t seed)
{
	const uint8_t *bytes = data;
	uint64_t hash = 0xcbf29ce484222325ULL ^ seed;

	for (size_t i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * 0x100000001b3ULL;
	return mix(hash);
}

uint64_t rendezvous_candidate_hash(const char *candidate)
{
	return rendezvous_hash(candidate, strlen(candidate), 1);
}

uint64_t rendezvous_key_hash(const char *key)
{
	return rendezvous_hash(key, strlen(key), 0);
}

uint64_t rendezvous_weight_of(uint64_t candidate_hash, uint64_t key_hash)
{
	return mix(key_hash ^ candidate_hash);
}

uint64_t rendezvous_weight(const char *candidate, const char *key)
{
	return rendezvous_weight_of(rendezvous_candidate_hash(candidate),
				    rendezvous_key_hash(key));
}
