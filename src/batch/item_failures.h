#ifndef WASABILINK_BATCH_ITEM_FAILURES_H
#define WASABILINK_BATCH_ITEM_FAILURES_H

#include <glib.h>
#include <stdint.h>

/*
 * item_failures - failure history of an item that may be a poison item. It is
 * passed on with the chunk from holder to holder, so that a poison item cannot
 * crash more runners than the limit when its holder changes.
 */
#define ITEM_FAILURES_MAX_ATTEMPTS \
	3 /* that the engine answered with an error */
#define ITEM_FAILURES_MAX_RUNNER_LOSSES \
	2 /* runners lost while running the item */

typedef struct suspect {
	uint32_t item; /* number within the job */
	uint32_t attempts;
	uint32_t runner_losses;
} item_failures_t;

#endif
