#ifndef WASABILINK_COORD_SHARD_STORE_H
#define WASABILINK_COORD_SHARD_STORE_H

#include "coord/shard_state.h"

/*
 * shard_store - write budget, backoff, object names and writer tokens for the
 * calls of a shard to the object store
 */

bool shard_store_had_no_effect(const GError *error);
bool shard_store_budget_ready(shard_t *shard);
void shard_store_budget_take(shard_t *shard);
void shard_store_back_off(shard_t *shard);
void shard_store_succeeded(shard_t *shard);
char *shard_store_object_name(const shard_t *shard, uint64_t id, bool is_index);
char *shard_store_next_writer(shard_t *shard, bool releasing);

#endif
