#ifndef WASABILINK_ENTRY_DISPATCH_INPUT_H
#define WASABILINK_ENTRY_DISPATCH_INPUT_H

#include "entry/dispatch_state.h"

/*
 * dispatch_input - reads the input parts of chunks from the object store and
 * caches the most recently used ones.
 */

void dispatch_input_part_free(void *data);
void dispatch_input_load(const dispatch_chunk_t *chunk, void *user_data);

#endif
