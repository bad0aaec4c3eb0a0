#ifndef WASABILINK_TESTS_FUZZ_FUZZ_TARGET_H
#define WASABILINK_TESTS_FUZZ_FUZZ_TARGET_H

#include <stddef.h>
#include <stdint.h>

/*
 * fuzz_target - decoders that read from the network, by name.
 *
 * A target takes any bytes and must not crash, hang or break an invariant (it
 * aborts then). tests/fuzz/fuzzer.c runs one under libFuzzer; the test program
 * test_fuzz_corpus replays the committed corpus without it.
 */
typedef struct fuzz_target {
	const char *name; /* also the corpus folder's */
	void (*run)(const uint8_t *data, size_t size);
} fuzz_target_t;

/* Ends with a NULL name. */
extern const fuzz_target_t fuzz_targets[];

const fuzz_target_t *fuzz_target_find(const char *name);

#endif
