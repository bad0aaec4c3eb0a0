#include "coord/swim_message.h"

#include <string.h>

#include "coord/swim_state.h"

/* Space in a datagram that pending updates leave is filled with random members,
 * so that a node that missed an update receives it within about a minute. */
#define FILLER_UPDATES 3
#define TABLE_BYTES 1100

typedef struct update_list {
	member_update updates[MEMBER_UPDATES_MAX];
	guint count;
	size_t bytes;
	size_t max_bytes;
} update_list_t;

typedef struct news {
	const member_t *member;
	peer_t *peer;
} pending_update_t;

static size_t xdr_string_bytes(const char *text)
{
	return 4 + (strlen(text) + 3) / 4 * 4;
}

static size_t update_bytes(const member_t *member)
{
	return xdr_string_bytes(member->address) +
	       xdr_string_bytes(member->domain) + 4 + 8;
}

static void fill_update(member_update *update, const member_t *member)
{
	update->address = member->address;
	update->domain = member->domain;
	update->state = member->state |
			(member->store_unreachable ? MEMBER_NO_STORE_FLAG : 0);
	update->incarnation = member->incarnation;
}

static gboolean append_update(update_list_t *list, const member_t *member)
{
	size_t bytes = update_bytes(member);

	if (list->count == MEMBER_UPDATES_MAX ||
	    list->bytes + bytes > list->max_bytes)
		return FALSE;
	for (guint i = 0; i < list->count; i++)
		if (list->updates[i].address == member->address)
			return FALSE;
	fill_update(&list->updates[list->count++], member);
	list->bytes += bytes;
	return TRUE;
}

static int compare_pending(const void *a, const void *b)
{
	uint32_t left = ((const pending_update_t *)a)->peer->sends_remaining;
	uint32_t right = ((const pending_update_t *)b)->peer->sends_remaining;

	return left > right ? -1 : left < right;
}

/* Appends the pending updates, those sent least often first. */
static void append_pending(swim_t *swim, update_list_t *list)
{
	const GPtrArray *all = member_all(swim->members);
	GArray *pending = g_array_new(FALSE, FALSE, sizeof(pending_update_t));

	for (guint i = 0; i < all->len; i++) {
		pending_update_t item = { all->pdata[i], NULL };

		item.peer =
			g_hash_table_lookup(swim->peers, item.member->address);
		if (item.peer && item.peer->sends_remaining > 0)
			g_array_append_val(pending, item);
	}
	g_array_sort(pending, compare_pending);
	for (guint i = 0; i < pending->len; i++) {
		pending_update_t *item =
			&g_array_index(pending, pending_update_t, i);

		if (append_update(list, item->member))
			item->peer->sends_remaining--;
	}
	g_array_free(pending, TRUE);
}

static void append_filler(swim_t *swim, update_list_t *list)
{
	const GPtrArray *all = member_all(swim->members);

	for (int i = 0; i < FILLER_UPDATES && all->len > 1; i++)
		append_update(
			list,
			all->pdata[g_rand_int_range(swim->options.random, 1,
						    (gint32)all->len)]);
}

static void send_updates(swim_t *swim, const char *address, member_kind kind,
			 uint32_t sequence, const char *target,
			 update_list_t *list)
{
	const member_t *self = member_self(swim->members);
	member_message message = {
		.fleet = swim->options.fleet,
		.kind = kind,
		.sequence = sequence,
		.target = (char *)target,
		.config_version = self->config_version,
	};

	fill_update(&message.sender, self);
	memcpy(message.config_digest, self->config_digest,
	       MEMBER_CONFIG_DIGEST_BYTES);
	message.updates.updates_len = list->count;
	message.updates.updates_val = list->updates;
	swim->options.send(address, &message, swim->options.user_data);
}

void swim_message_send(swim_t *swim, const char *address, member_kind kind,
		       uint32_t sequence, const char *target)
{
	const member_t *receiver = member_find(swim->members, address);
	update_list_t list = { .max_bytes = SWIM_UPDATE_BYTES };

	/* A suspect or dead member must receive the update to refute it. */
	if (receiver && (receiver->state == MEMBER_SUSPECT ||
			 receiver->state == MEMBER_DEAD))
		append_update(&list, receiver);
	append_pending(swim, &list);
	append_filler(swim, &list);
	send_updates(swim, address, kind, sequence, target, &list);
}

void swim_message_send_table(swim_t *swim, const char *address)
{
	const GPtrArray *all = member_all(swim->members);
	update_list_t list = { .max_bytes = TABLE_BYTES };

	for (guint i = 0; i < all->len; i++) {
		if (append_update(&list, all->pdata[i]))
			continue;
		send_updates(swim, address, MEMBER_TABLE, 0, address, &list);
		list.count = 0;
		list.bytes = 0;
		append_update(&list, all->pdata[i]);
	}
	send_updates(swim, address, MEMBER_TABLE, 0, address, &list);
}

void swim_message_gossip(swim_t *swim, guint fanout)
{
	const char *picked[SWIM_LEAVE_FANOUT];
	guint count = swim_state_pick_live(swim, NULL, picked, fanout);

	for (guint i = 0; i < count; i++)
		swim_message_send(swim, picked[i], MEMBER_GOSSIP, 0, picked[i]);
}
