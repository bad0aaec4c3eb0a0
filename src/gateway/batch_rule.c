#include "gateway/batch_rule.h"

/* One place at each runner takes the online requests that arrive before
 * batch work has given way. */
#define RESERVE 1
/* About the time that one item takes; later starts would miss the due time. */
#define URGENT_MS 7000

uint32_t batch_reserve(int64_t now_us, int64_t due_us)
{
	return due_us - now_us < URGENT_MS * 1000LL ? 0 : RESERVE;
}
