#ifndef WASABILINK_BATCH_SUSPECT_H
#define WASABILINK_BATCH_SUSPECT_H

#include <glib.h>
#include <stdint.h>

/*
 * suspect - what is known against an item that failed before. It travels with
 * the chunk from holder to holder, so that a bad item cannot end more runners
 * than the limit by changing its holder.
 */
#define SUSPECT_MAX_TRIES 3 /* engine's error answers */
#define SUSPECT_MAX_DEATHS 2 /* runners lost under the item */

typedef struct suspect {
	uint32_t item; /* number within the job */
	uint32_t tries;
	uint32_t deaths;
} suspect_t;

#endif
