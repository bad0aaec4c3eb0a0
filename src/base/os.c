#include "base/os.h"

#include <malloc.h>
#include <sys/resource.h>

/* The allocator's own first threshold. */
#define LARGE_BLOCK_BYTES (128 * 1024)

void os_raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

void os_return_large_blocks(void)
{
#ifdef __GLIBC__
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, LARGE_BLOCK_BYTES);
#endif
}
