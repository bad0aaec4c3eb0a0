#include "coord/member.h"

#include <string.h>

#include "coord/rendezvous.h"

struct member_table {
	GPtrArray *members; /* member_t; the first is the node itself */
	GHashTable *by_address;
};

static void member_free(void *data)
{
	member_t *member = data;

	g_free(member->address);
	g_free(member->domain);
	g_free(member);
}

member_table_t *member_table_new(const char *own_address,
				 const char *own_domain)
{
	member_table_t *table = g_new0(member_table_t, 1);

	table->members = g_ptr_array_new_with_free_func(member_free);
	table->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	member_add(table, own_address, own_domain);
	return table;
}

void member_table_free(member_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_address);
	g_ptr_array_free(table->members, TRUE);
	g_free(table);
}

member_t *member_self(const member_table_t *table)
{
	return table->members->pdata[0];
}

member_t *member_find(const member_table_t *table, const char *address)
{
	return g_hash_table_lookup(table->by_address, address);
}

member_t *member_add(member_table_t *table, const char *address,
		     const char *domain)
{
	member_t *member = member_find(table, address);

	if (member)
		return member;
	member = g_new0(member_t, 1);
	member->address = g_strdup(address);
	member->domain = g_strdup(domain);
	member->hash = rendezvous_candidate_hash(address);
	member->state = MEMBER_ALIVE;
	g_ptr_array_add(table->members, member);
	g_hash_table_insert(table->by_address, member->address, member);
	return member;
}

void member_remove(member_table_t *table, const char *address)
{
	member_t *member = member_find(table, address);

	if (!member || member == member_self(table))
		return;
	g_hash_table_remove(table->by_address, address);
	g_ptr_array_remove(table->members, member);
}

const GPtrArray *member_all(const member_table_t *table)
{
	return table->members;
}

uint32_t member_count(const member_table_t *table, member_state_t state)
{
	uint32_t count = 0;

	for (guint i = 0; i < table->members->len; i++)
		if (((member_t *)table->members->pdata[i])->state == state)
			count++;
	return count;
}

const member_t *member_owner(const member_table_t *table, const char *domain,
			     const char *key)
{
	const member_t *best = NULL;
	uint64_t best_weight = 0;
	uint64_t key_hash = rendezvous_key_hash(key);

	for (guint i = 0; i < table->members->len; i++) {
		const member_t *member = table->members->pdata[i];
		uint64_t weight;

		if (member->state != MEMBER_ALIVE ||
		    (domain && strcmp(member->domain, domain) != 0))
			continue;
		weight = rendezvous_weight_of(member->hash, key_hash);
		if (!best || weight > best_weight) {
			best = member;
			best_weight = weight;
		}
	}
	return best;
}

const char *member_state_name(member_state_t state)
{
	static const char *const names[] = { "alive", "suspect", "draining",
					     "dead" };

	return names[state];
}
