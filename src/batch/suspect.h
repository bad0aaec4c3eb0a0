#ifndef WASABILINK_BATCH_SUSPECT_H
#define WASABILINK_BATCH_SUSPECT_H

#include <glib.h>
#include <stdint.h>

/*
 * item_failures - failure history of an item that may be a poison item. It is
 * passed on with the chunk from holder to holder, so that a poison item cannot
 * crash more runners than the limit when its holder changes.
 */
#define SUSPECT_MAX_TRIES 3 /* that the engine answered with an error */
#define SUSPECT_MAX_DEATHS 2 /* runners lost while running the item */

typedef struct suspect {
	uint32_t item; /* number within the job */
	uint32_t tries;
	uint32_t deaths;
} suspect_t;

#endif
