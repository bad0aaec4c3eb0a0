#ifndef WASABILINK_ENTRY_DISPATCH_PART_H
#define WASABILINK_ENTRY_DISPATCH_PART_H

#include "entry/dispatch_state.h"

/*
 * dispatch_part - reads the input parts of chunks from the object store and
 * keeps the last few.
 */

void dispatch_part_free(void *data);
void dispatch_part_load(const dispatch_chunk_t *chunk, void *user_data);

#endif
