#ifndef WASABILINK_ENTRY_DISPATCH_RETURN_H
#define WASABILINK_ENTRY_DISPATCH_RETURN_H

#include "entry/dispatch_state.h"

/*
 * dispatch_return - chunks that go back to their coordinator unfinished.
 *
 * A return carries what is known against failed items, so it is repeated until
 * a coordinator has taken it: an item whose deaths were forgotten would end
 * more runners than the limit.
 */
void dispatch_return_chunk(const dispatch_chunk_t *chunk,
			   const GArray *suspects, void *user_data);
/* Ends the repeats of a chunk that was granted again and adds what they tell
 * to suspects. */
void dispatch_return_recall(dispatch_t *dispatch, const char *job,
			    uint32_t first, GArray *suspects);

#endif
