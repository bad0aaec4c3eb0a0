#include "coord/swim.h"

#include <math.h>
#include <string.h>

#define PERIOD_MS 1000
#define ACK_TIMEOUT_MS 300
#define DEAD_KEEP_MS 600000
#define INDIRECT_PROBES 3
/* Suspicion lasts this many periods, times log10 of the member count. */
#define SUSPICION_FACTOR 4
/* Each update goes out this many times, times log2 of the member count. */
#define RETRANSMIT_FACTOR 3
/* What a node learns from a whole table is mostly known to others. It is not
 * quite dropped, because nodes that join together get incomplete tables. */
#define TABLE_RETRANSMITS 2
#define MAX_HEALTH 8
#define GOSSIP_FANOUT 3
#define LEAVE_FANOUT 8
/* Room of a datagram that no news needs carries members at random, so that a
 * node that missed an update learns it within about a minute. */
#define FILLER_UPDATES 3
#define SYNC_BYTES 1100
#define SYNC_REQUESTS 3
/* Periods before the next request by the number that is left: nodes that join
 * together get incomplete tables first. The last one repeats: it costs 0.3 KB/s
 * at 380 nodes and finds what gossip has missed. */
#define SYNC_PERIODS        \
	{                   \
		60, 6, 2, 1 \
	}
#define SEED_PROBES 3
/* One member or seed that is not live is contacted in this many periods. */
#define REVIVE_PERIODS 5
#define MAX_RELAYS 64
/* A tick that is later than this many periods means that the process was
 * paused, and the silence of others says nothing. */
#define PAUSE_PERIODS 2

/* What the detector keeps beside the member table. */
typedef struct peer {
	int64_t suspect_until_ms;
	int64_t dead_since_ms;
	uint32_t sends_left; /* 0: no news */
} peer_t;

typedef struct probe {
	char *address; /* NULL: none in flight */
	uint32_t sequence;
	int64_t indirect_ms;
	gboolean indirect_sent;
	uint32_t nacks_missing;
} probe_t;

/* A probe that this node makes for another one. */
typedef struct relay {
	char *origin;
	uint32_t origin_sequence;
	uint32_t sequence;
	int64_t nack_ms;
} relay_t;

struct swim {
	swim_options_t options;
	member_table_t *members;
	GHashTable *peers; /* address -> peer_t */
	GPtrArray *seeds;
	GPtrArray *order; /* addresses of this round of probes */
	GQueue relays;
	probe_t probe;
	uint32_t sequence;
	uint32_t health;
	uint32_t syncs_left;
	int64_t next_probe_ms;
	int64_t next_revive_ms;
	int64_t next_sync_ms;
	int64_t last_tick_ms;
	gboolean left;
	gboolean in_table; /* receiving MEMBER_TABLE */
};

static void send_message(swim_t *swim, const char *address, member_kind kind,
			 uint32_t sequence, const char *target);

static int64_t now_ms(const swim_t *swim)
{
	return clock_now_ms(swim->options.clock);
}

static peer_t *peer_get(swim_t *swim, const char *address)
{
	peer_t *peer = g_hash_table_lookup(swim->peers, address);

	if (!peer) {
		peer = g_new0(peer_t, 1);
		g_hash_table_insert(swim->peers, g_strdup(address), peer);
	}
	return peer;
}

static void relay_free(void *data)
{
	relay_t *relay = data;

	g_free(relay->origin);
	g_free(relay);
}

static gboolean is_self(const swim_t *swim, const char *address)
{
	return strcmp(member_self(swim->members)->address, address) == 0;
}

static uint32_t retransmits(const swim_t *swim)
{
	double count = member_all(swim->members)->len;

	return RETRANSMIT_FACTOR * (uint32_t)ceil(log2(count + 1));
}

static int64_t suspicion_ms(const swim_t *swim)
{
	double count = member_all(swim->members)->len;
	double scale = MAX(1.0, log10(count));

	return (int64_t)(SUSPICION_FACTOR * scale * swim->options.period_ms *
			 (swim->health + 1));
}

static void health_change(swim_t *swim, int delta)
{
	swim->health =
		(uint32_t)CLAMP((int)swim->health + delta, 0, MAX_HEALTH);
}

static void set_state(swim_t *swim, member_t *member, member_state_t state,
		      uint64_t incarnation)
{
	peer_t *peer = peer_get(swim, member->address);
	gboolean changed = member->state != state;

	member->state = state;
	member->incarnation = incarnation;
	peer->sends_left = swim->in_table && !is_self(swim, member->address) ?
				   TABLE_RETRANSMITS :
				   retransmits(swim);
	if (state == MEMBER_SUSPECT)
		peer->suspect_until_ms = now_ms(swim) + suspicion_ms(swim);
	if (state == MEMBER_DEAD)
		peer->dead_since_ms = now_ms(swim);
	if (changed && swim->options.changed)
		swim->options.changed(member, swim->options.user_data);
}

/* At the same incarnation the worse news wins. */
static gboolean is_news(const member_t *member, member_state_t state,
			uint64_t incarnation)
{
	static const int rank[] = { [MEMBER_ALIVE] = 0,
				    [MEMBER_DRAINING] = 1,
				    [MEMBER_SUSPECT] = 2,
				    [MEMBER_DEAD] = 3 };

	if (incarnation != member->incarnation)
		return incarnation > member->incarnation;
	return rank[state] > rank[member->state];
}

static guint pick_live(swim_t *swim, const char *except, const char **picked,
		       guint count)
{
	const GPtrArray *all = member_all(swim->members);
	guint found = 0, seen = 0;

	/* Reservoir sampling. */
	for (guint i = 1; i < all->len; i++) {
		const member_t *member = all->pdata[i];
		guint place;

		if (member->state == MEMBER_DEAD ||
		    (except && strcmp(member->address, except) == 0))
			continue;
		seen++;
		place = found < count ?
				found++ :
				(guint)g_rand_int_range(swim->options.random, 0,
							(gint32)seen);
		if (place < count)
			picked[place] = member->address;
	}
	return found;
}

static void gossip(swim_t *swim, guint fanout)
{
	const char *picked[LEAVE_FANOUT];
	guint count = pick_live(swim, NULL, picked, fanout);

	for (guint i = 0; i < count; i++)
		send_message(swim, picked[i], MEMBER_GOSSIP, 0, picked[i]);
}

static void update_self(swim_t *swim, member_state_t state,
			uint64_t incarnation)
{
	set_state(swim, member_self(swim->members), state, incarnation);
	gossip(swim, state == MEMBER_DEAD ? LEAVE_FANOUT : GOSSIP_FANOUT);
}

static void start_syncs(swim_t *swim)
{
	swim->syncs_left = SYNC_REQUESTS;
	swim->next_sync_ms = 0;
}

static void apply_own(swim_t *swim, member_state_t state, uint64_t incarnation)
{
	const member_t *self = member_self(swim->members);
	gboolean accused = state == MEMBER_SUSPECT || state == MEMBER_DEAD;

	if (swim->left || incarnation < self->incarnation ||
	    (!accused && incarnation == self->incarnation))
		return;
	/* A node that was declared dead has missed updates. */
	if (state == MEMBER_DEAD)
		start_syncs(swim);
	if (accused)
		health_change(swim, 1);
	update_self(swim, self->state, incarnation + 1);
}

static void apply_update(swim_t *swim, const member_update *update)
{
	member_state_t state = (member_state_t)update->state;
	member_t *member;

	if (update->state > MEMBER_DEAD || !update->address[0])
		return;
	if (is_self(swim, update->address)) {
		apply_own(swim, state, update->incarnation);
		return;
	}
	member = member_find(swim->members, update->address);
	if (member) {
		if (is_news(member, state, update->incarnation))
			set_state(swim, member, state, update->incarnation);
		return;
	}
	/* A dead member may be known longer elsewhere than here. */
	if (state == MEMBER_DEAD)
		return;
	member = member_add(swim->members, update->address, update->domain);
	set_state(swim, member, state, update->incarnation);
	if (state == MEMBER_ALIVE && swim->options.changed)
		swim->options.changed(member, swim->options.user_data);
}

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
	update->state = member->state;
	update->incarnation = member->incarnation;
}

typedef struct update_list {
	member_update updates[MEMBER_UPDATES_MAX];
	guint count;
	size_t bytes;
	size_t max_bytes;
} update_list_t;

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

typedef struct news {
	const member_t *member;
	peer_t *peer;
} news_t;

static int compare_news(const void *a, const void *b)
{
	uint32_t left = ((const news_t *)a)->peer->sends_left;
	uint32_t right = ((const news_t *)b)->peer->sends_left;

	return left > right ? -1 : left < right;
}

/* The news that was sent least often goes first. */
static void append_news(swim_t *swim, update_list_t *list)
{
	const GPtrArray *all = member_all(swim->members);
	GArray *news = g_array_new(FALSE, FALSE, sizeof(news_t));

	for (guint i = 0; i < all->len; i++) {
		news_t item = { all->pdata[i], NULL };

		item.peer =
			g_hash_table_lookup(swim->peers, item.member->address);
		if (item.peer && item.peer->sends_left > 0)
			g_array_append_val(news, item);
	}
	g_array_sort(news, compare_news);
	for (guint i = 0; i < news->len; i++) {
		news_t *item = &g_array_index(news, news_t, i);

		if (append_update(list, item->member))
			item->peer->sends_left--;
	}
	g_array_free(news, TRUE);
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

static void send_message(swim_t *swim, const char *address, member_kind kind,
			 uint32_t sequence, const char *target)
{
	const member_t *receiver = member_find(swim->members, address);
	update_list_t list = { .max_bytes = SWIM_UPDATE_BYTES };

	/* An accused member must hear of it to refute it. */
	if (receiver && (receiver->state == MEMBER_SUSPECT ||
			 receiver->state == MEMBER_DEAD))
		append_update(&list, receiver);
	append_news(swim, &list);
	append_filler(swim, &list);
	send_updates(swim, address, kind, sequence, target, &list);
}

static void send_table(swim_t *swim, const char *address)
{
	const GPtrArray *all = member_all(swim->members);
	update_list_t list = { .max_bytes = SYNC_BYTES };

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

static void probe_end(swim_t *swim)
{
	g_free(swim->probe.address);
	swim->probe = (probe_t){ 0 };
}

static void suspect(swim_t *swim, const char *address)
{
	member_t *member = member_find(swim->members, address);

	if (member &&
	    (member->state == MEMBER_ALIVE || member->state == MEMBER_DRAINING))
		set_state(swim, member, MEMBER_SUSPECT, member->incarnation);
}

static void probe_failed(swim_t *swim)
{
	probe_t *probe = &swim->probe;

	/* Helpers that did not even say "no" point to a fault of this node. */
	health_change(swim, probe->indirect_sent && probe->nacks_missing == 0 ?
				    0 :
				    1);
	suspect(swim, probe->address);
	probe_end(swim);
}

static void refill_order(swim_t *swim)
{
	const GPtrArray *all = member_all(swim->members);

	for (guint i = 1; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		if (member->state != MEMBER_DEAD)
			g_ptr_array_add(swim->order, g_strdup(member->address));
	}
	for (guint i = swim->order->len; i > 1; i--) {
		guint j = (guint)g_rand_int_range(swim->options.random, 0,
						  (gint32)i);
		void *swap = swim->order->pdata[i - 1];

		swim->order->pdata[i - 1] = swim->order->pdata[j];
		swim->order->pdata[j] = swap;
	}
}

/* Each member is probed once a round, in random order. */
static char *next_target(swim_t *swim)
{
	if (swim->order->len == 0)
		refill_order(swim);
	while (swim->order->len > 0) {
		char *address = g_ptr_array_steal_index(swim->order,
							swim->order->len - 1);
		const member_t *member = member_find(swim->members, address);

		if (member && member->state != MEMBER_DEAD)
			return address;
		g_free(address);
	}
	return NULL;
}

static gboolean is_live(const swim_t *swim, const char *address)
{
	const member_t *member = member_find(swim->members, address);

	return member && member->state != MEMBER_DEAD;
}

/* Contacts seeds that are not live members, in random order from one. */
static void contact_seeds(swim_t *swim, guint count)
{
	guint len = swim->seeds->len;
	guint start = len ? (guint)g_rand_int_range(swim->options.random, 0,
						    (gint32)len) :
			    0;

	for (guint i = 0; i < len && count > 0; i++) {
		const char *address = swim->seeds->pdata[(start + i) % len];

		if (is_live(swim, address))
			continue;
		send_message(swim, address, MEMBER_PING, ++swim->sequence,
			     address);
		count--;
	}
}

static void contact_dead(swim_t *swim)
{
	const GPtrArray *all = member_all(swim->members);
	const char *picked = NULL;
	gint32 seen = 0;

	for (guint i = 1; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		if (member->state == MEMBER_DEAD &&
		    g_rand_int_range(swim->options.random, 0, ++seen) == 0)
			picked = member->address;
	}
	if (picked)
		send_message(swim, picked, MEMBER_PING, ++swim->sequence,
			     picked);
}

static void start_probe(swim_t *swim, int64_t now)
{
	probe_t *probe = &swim->probe;

	probe->address = next_target(swim);
	if (!probe->address) {
		contact_seeds(swim, SEED_PROBES);
		return;
	}
	probe->sequence = ++swim->sequence;
	probe->indirect_ms = now + (int64_t)swim->options.ack_timeout_ms *
					   (swim->health + 1);
	send_message(swim, probe->address, MEMBER_PING, probe->sequence,
		     probe->address);
}

static void probe_indirectly(swim_t *swim)
{
	probe_t *probe = &swim->probe;
	const char *helpers[INDIRECT_PROBES];
	guint count = pick_live(swim, probe->address, helpers, INDIRECT_PROBES);

	probe->indirect_sent = TRUE;
	probe->nacks_missing = count;
	for (guint i = 0; i < count; i++)
		send_message(swim, helpers[i], MEMBER_PING_REQUEST,
			     probe->sequence, probe->address);
}

static void expire_members(swim_t *swim, int64_t now)
{
	const GPtrArray *all = member_all(swim->members);

	for (guint i = all->len; i > 1; i--) {
		member_t *member = all->pdata[i - 1];
		peer_t *peer = peer_get(swim, member->address);

		if (member->state == MEMBER_SUSPECT &&
		    now >= peer->suspect_until_ms) {
			set_state(swim, member, MEMBER_DEAD,
				  member->incarnation);
		} else if (member->state == MEMBER_DEAD &&
			   now >= peer->dead_since_ms +
					   swim->options.dead_keep_ms) {
			g_hash_table_remove(swim->peers, member->address);
			member_remove(swim->members, member->address);
		}
	}
}

static void expire_relays(swim_t *swim, int64_t now)
{
	relay_t *relay;

	while ((relay = g_queue_peek_head(&swim->relays)) &&
	       now >= relay->nack_ms) {
		g_queue_pop_head(&swim->relays);
		send_message(swim, relay->origin, MEMBER_NACK,
			     relay->origin_sequence, relay->origin);
		relay_free(relay);
	}
}

/* After a pause of this process, others have had no chance to answer. */
static void forgive_pause(swim_t *swim, int64_t now)
{
	int64_t gap = now - swim->last_tick_ms;
	GHashTableIter iter;
	void *value;

	if (gap < (int64_t)PAUSE_PERIODS * swim->options.period_ms)
		return;
	g_hash_table_iter_init(&iter, swim->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((peer_t *)value)->suspect_until_ms += gap;
	probe_end(swim);
	health_change(swim, 1);
	start_syncs(swim);
}

static void request_sync(swim_t *swim, int64_t now)
{
	static const int periods[SYNC_REQUESTS + 1] = SYNC_PERIODS;
	const char *picked;

	if (now < swim->next_sync_ms || pick_live(swim, NULL, &picked, 1) == 0)
		return;
	if (swim->syncs_left > 0)
		swim->syncs_left--;
	swim->next_sync_ms = now + (int64_t)periods[swim->syncs_left] *
					   swim->options.period_ms;
	send_message(swim, picked, MEMBER_SYNC, 0, picked);
}

void swim_tick(swim_t *swim)
{
	int64_t now = now_ms(swim);
	probe_t *probe = &swim->probe;

	if (swim->left)
		return;
	forgive_pause(swim, now);
	swim->last_tick_ms = now;
	expire_relays(swim, now);
	expire_members(swim, now);
	if (probe->address && !probe->indirect_sent &&
	    now >= probe->indirect_ms)
		probe_indirectly(swim);
	if (now >= swim->next_revive_ms) {
		swim->next_revive_ms =
			now + (int64_t)REVIVE_PERIODS * swim->options.period_ms;
		contact_dead(swim);
		contact_seeds(swim, 1);
	}
	if (now < swim->next_probe_ms)
		return;
	if (probe->address)
		probe_failed(swim);
	swim->next_probe_ms =
		now + (int64_t)swim->options.period_ms * (swim->health + 1);
	request_sync(swim, now);
	start_probe(swim, now);
}

static void receive_ack(swim_t *swim, const member_message *message)
{
	probe_t *probe = &swim->probe;

	if (probe->address && probe->sequence == message->sequence) {
		health_change(swim, -1);
		probe_end(swim);
		return;
	}
	for (GList *link = swim->relays.head; link; link = link->next) {
		relay_t *relay = link->data;

		if (relay->sequence != message->sequence)
			continue;
		send_message(swim, relay->origin, MEMBER_ACK,
			     relay->origin_sequence, relay->origin);
		g_queue_delete_link(&swim->relays, link);
		relay_free(relay);
		return;
	}
}

static void receive_nack(swim_t *swim, const member_message *message)
{
	probe_t *probe = &swim->probe;

	if (probe->address && probe->sequence == message->sequence &&
	    probe->nacks_missing > 0)
		probe->nacks_missing--;
}

static void receive_ping(swim_t *swim, const member_message *message)
{
	/* A ping for an earlier node at this address proves nothing. */
	if (is_self(swim, message->target))
		send_message(swim, message->sender.address, MEMBER_ACK,
			     message->sequence, message->sender.address);
}

static void receive_ping_request(swim_t *swim, const member_message *message)
{
	relay_t *relay;

	if (g_queue_get_length(&swim->relays) >= MAX_RELAYS)
		return;
	relay = g_new0(relay_t, 1);
	relay->origin = g_strdup(message->sender.address);
	relay->origin_sequence = message->sequence;
	relay->sequence = ++swim->sequence;
	relay->nack_ms = now_ms(swim) + swim->options.ack_timeout_ms;
	g_queue_push_tail(&swim->relays, relay);
	send_message(swim, message->target, MEMBER_PING, relay->sequence,
		     message->target);
}

static void receive_sync(swim_t *swim, const member_message *message)
{
	send_table(swim, message->sender.address);
}

static void note_config(swim_t *swim, const member_message *message)
{
	member_t *member = member_find(swim->members, message->sender.address);

	if (!member || member->incarnation != message->sender.incarnation ||
	    member->config_version == message->config_version)
		return;
	/* A restarted member may hold an older configuration than before. */
	member->config_version = message->config_version;
	memcpy(member->config_digest, message->config_digest,
	       MEMBER_CONFIG_DIGEST_BYTES);
}

void swim_receive(swim_t *swim, const member_message *message)
{
	static void (*const receivers[])(swim_t *, const member_message *) = {
		[MEMBER_PING] = receive_ping,
		[MEMBER_ACK] = receive_ack,
		[MEMBER_PING_REQUEST] = receive_ping_request,
		[MEMBER_NACK] = receive_nack,
		[MEMBER_SYNC] = receive_sync,
	};
	gboolean alone = member_all(swim->members)->len == 1;

	if (swim->left || message->fleet != swim->options.fleet ||
	    is_self(swim, message->sender.address))
		return;
	apply_update(swim, &message->sender);
	swim->in_table = message->kind == MEMBER_TABLE;
	for (u_int i = 0; i < message->updates.updates_len; i++)
		apply_update(swim, &message->updates.updates_val[i]);
	swim->in_table = FALSE;
	note_config(swim, message);
	if (alone && member_all(swim->members)->len > 1)
		start_syncs(swim);
	if ((size_t)message->kind < G_N_ELEMENTS(receivers) &&
	    receivers[message->kind])
		receivers[message->kind](swim, message);
}

void swim_drain(swim_t *swim)
{
	const member_t *self = member_self(swim->members);

	if (self->state == MEMBER_ALIVE)
		update_self(swim, MEMBER_DRAINING, self->incarnation + 1);
}

void swim_leave(swim_t *swim)
{
	const member_t *self = member_self(swim->members);

	if (swim->left)
		return;
	update_self(swim, MEMBER_DEAD, self->incarnation + 1);
	swim->left = TRUE;
}

void swim_announce_config(swim_t *swim, uint64_t version, const uint8_t *digest)
{
	member_t *self = member_self(swim->members);

	self->config_version = version;
	memcpy(self->config_digest, digest, MEMBER_CONFIG_DIGEST_BYTES);
	gossip(swim, GOSSIP_FANOUT);
}

void swim_set_seeds(swim_t *swim, const GPtrArray *addresses)
{
	g_ptr_array_set_size(swim->seeds, 0);
	for (guint i = 0; i < addresses->len; i++)
		if (!is_self(swim, addresses->pdata[i]))
			g_ptr_array_add(swim->seeds,
					g_strdup(addresses->pdata[i]));
}

uint32_t swim_local_health(const swim_t *swim)
{
	return swim->health;
}

swim_t *swim_new(const swim_options_t *options)
{
	swim_t *swim = g_new0(swim_t, 1);
	swim_options_t *o = &swim->options;

	*o = *options;
	o->period_ms = o->period_ms ? o->period_ms : PERIOD_MS;
	o->ack_timeout_ms =
		o->ack_timeout_ms ? o->ack_timeout_ms : ACK_TIMEOUT_MS;
	o->dead_keep_ms = o->dead_keep_ms ? o->dead_keep_ms : DEAD_KEEP_MS;
	swim->members = options->members;
	swim->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	swim->seeds = g_ptr_array_new_with_free_func(g_free);
	swim->order = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&swim->relays);
	swim->last_tick_ms = now_ms(swim);
	/* Nodes that start together must not probe in step. */
	swim->next_probe_ms = swim->last_tick_ms +
			      g_rand_int_range(o->random, 0, o->period_ms);
	set_state(swim, member_self(swim->members), MEMBER_ALIVE,
		  options->incarnation);
	return swim;
}

void swim_free(swim_t *swim)
{
	if (!swim)
		return;
	probe_end(swim);
	g_queue_clear_full(&swim->relays, relay_free);
	g_ptr_array_free(swim->order, TRUE);
	g_ptr_array_free(swim->seeds, TRUE);
	g_hash_table_destroy(swim->peers);
	g_free(swim);
}
