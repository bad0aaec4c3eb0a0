#include <stdio.h>
#include <stdlib.h>

#include "fuzz/fuzz_target.h"

/* The target is chosen by the environment variable FUZZ_TARGET. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const fuzz_target_t *target;

	if (!target) {
		const char *name = getenv("FUZZ_TARGET");

		target = fuzz_target_find(name ? name : "");
		if (!target) {
			fprintf(stderr, "FUZZ_TARGET names no target\n");
			exit(64);
		}
	}
	target->run(data, size);
	return 0;
}
