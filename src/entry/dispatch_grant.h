#ifndef WASABILINK_ENTRY_DISPATCH_GRANT_H
#define WASABILINK_ENTRY_DISPATCH_GRANT_H

#include "entry/dispatch_state.h"
#include "rpc/rpc_server.h"

/*
 * dispatch_grant - messages to and from coordinators: offers, pulls, renewals
 * and finished chunks. Also writes the chunks' result objects.
 */

void dispatch_grant_renew(const dispatch_chunk_t *chunk, const GArray *suspects,
			  void *user_data);
void dispatch_grant_done(const dispatch_chunk_t *chunk,
			 const coordinator_result_t *result, void *user_data);
void dispatch_grant_offer_free(void *data);
void dispatch_grant_pull(const char *partner, const char *deployment,
			 void *user_data);
void dispatch_grant_handle_offer(rpc_call_t *call, const void *data,
				 void *user_data);
void dispatch_grant_remove_expired_offers(dispatch_t *dispatch);
void dispatch_grant_write(const dispatch_chunk_t *chunk, GBytes *object,
			  void *user_data);

#endif
