#include "coord/ring.h"

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

uint64_t ring_hash(const void *data, size_t len, uint64_t seed)
{
	const uint8_t *bytes = data;
	uint64_t hash = 0xcbf29ce484222325ULL ^ seed;

	for (size_t i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * 0x100000001b3ULL;
	return mix(hash);
}

uint64_t ring_weight(const char *candidate, const char *key)
{
	return mix(ring_hash(key, strlen(key), 0) ^
		   ring_hash(candidate, strlen(candidate), 1));
}
