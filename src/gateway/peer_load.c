#include "gateway/peer_load.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "coord/rendezvous.h"
#include "gateway/follow.h"
#include "gateway/node_registration.h"
#include "gateway/part_report.h"

#define NODE_PREFIX "gateway-nodes/"
#define NODE_WATCH_WAIT_MS 2500
/* New nodes are discovered by their reports; the store is read for the
 * others. */
#define NODE_WATCH_PAUSE_MS 5000
/* Changes within this time are sent in one report. Until it arrives, other
 * nodes may use the same slot. */
#define REPORT_BATCH_DELAY_MS 1
/* Reports are repeated, since datagrams may be lost. */
#define REPORT_INTERVAL_MS 400
#define DATAGRAM_MAX_BYTES 8192
/* In a system of up to this many nodes, each gets every report. The traffic
 * between domains grows with the square of the number of nodes. */
#define SMALL_SYSTEM_MAX_NODES 16
#define REMOTE_REPORT_INTERVAL_MS 250
/* Pauses between the first and the repeated sends of news about parts; losses
 * of datagrams come in bursts. */
#define PART_NEWS_DELAY_MS 1
#define PART_NEWS_REPEAT_MS 150
/* With as many nodes, each hears one summary in this time on average. */
#define PART_SUMMARY_INTERVAL_MS 500
/* Nodes that keep a stream's entry, of all and of a domain. */
#define ORIGIN_KEEPERS 2
#define ORIGIN_DOMAIN_KEEPERS 3
/* Number of nodes that send a summary to one that has started. */
#define PART_STARTED_SENDERS 4
/* The answer of another node to the first report of a process comes within this
 * time, if it has anything to tell. */
#define GREETING_MS 200
/* No longer after its start does a process wait for that. */
#define INTRODUCTION_MAX_MS 2000
/* A node that has reported nothing for so long is chosen for nothing that one node
 * does for others. */
#define NODE_SILENT_MS 10000
/* Longer than most cuts: the node does not count for the size of the system, and
 * gets reports seldom. */
#define NODE_LONG_SILENT_MS 60000
#define SILENT_REPORT_INTERVAL_MS 5000
#define SILENT_CHECK_INTERVAL_MS 500
/* After this time its entry is removed from the store, by the first node whose
 * delay is over. A node that lives registers again. */
#define NODE_GONE_MS 600000
#define NODE_GONE_SPREAD_MS 300000

typedef struct node_address {
	struct sockaddr_in socket;
	char *domain;
	uint64_t hash; /* rendezvous_candidate_hash() of the node */
	uint64_t version; /* of its entry in the store; 0: not known */
	int64_t heard_us; /* its last report, or when it was added */
	int64_t sent_us; /* last report to it while it is silent for long */
	int64_t removal_ms; /* silence after which its entry is removed */
	bool stopping; /* by its last report */
} node_address_t;

struct peer_load {
	peer_load_options_t options;
	load_view_t *view;
	follow_t *follow;
	int socket;
	struct event *readable;
	struct event *send; /* the scheduled report */
	node_registration_t *registration;
	GHashTable *addresses; /* node -> node_address_t */
	uint32_t silent_nodes; /* of these, for long, as last counted */
	int64_t silent_counted_us;
	int64_t contact_since_us; /* others have been heard since; 0: none is */
	uint32_t limit_nodes; /* other nodes that share the runners' limits */
	int64_t *entries_removed_total;
	int64_t created_us;
	int64_t introduced_us; /* first report to another node; 0: none yet */
	int64_t sent_us;
	int64_t remote_sent_us;
	struct event *send_parts; /* the next send of news about parts */
	int64_t parts_summary_us; /* time of the last summary */
	bool parts_pending;
	load_own_t own;
	bool send_pending;
	bool send_to_all; /* the next report goes to all domains */
};

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	char **parts = g_strsplit(text, ":", 2);
	guint64 port = 0;
	bool valid = parts[0] && parts[1] &&
		     inet_pton(AF_INET, parts[0], &address->sin_addr) == 1 &&
		     g_ascii_string_to_unsigned(parts[1], 10, 1, UINT16_MAX,
						&port, NULL);

	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	g_strfreev(parts);
	return valid;
}

static void address_free(void *data)
{
	node_address_t *address = data;

	g_free(address->domain);
	g_free(address);
}

/* Number of the other nodes but those that are silent for long. */
static uint32_t nodes_in_use(const peer_load_t *load)
{
	uint32_t nodes = g_hash_table_size(load->addresses);

	return nodes - MIN(load->silent_nodes, nodes);
}

static bool is_large(const peer_load_t *load)
{
	return nodes_in_use(load) > SMALL_SYSTEM_MAX_NODES;
}

static int64_t silent_for_ms(const peer_load_t *load,
			     const node_address_t *address)
{
	return (clock_now_us(load->options.clock) - address->heard_us) / 1000;
}

static bool is_silent(const peer_load_t *load, const node_address_t *address)
{
	return silent_for_ms(load, address) > NODE_SILENT_MS;
}

static void add_address(peer_load_t *load, const char *node, const char *domain,
			const struct sockaddr_in *socket, uint64_t version)
{
	node_address_t *address = g_hash_table_lookup(load->addresses, node);

	if (strcmp(node, load->options.node) == 0)
		return;
	/* An entry that is listed again says nothing of whether the node lives. */
	if (address && version && address->version == version)
		return;
	address = g_new0(node_address_t, 1);
	address->socket = *socket;
	address->domain = g_strdup(domain);
	address->hash = rendezvous_candidate_hash(node);
	address->version = version;
	address->heard_us = clock_now_us(load->options.clock);
	address->removal_ms =
		NODE_GONE_MS +
		g_rand_int_range(load->options.random, 0, NODE_GONE_SPREAD_MS);
	g_hash_table_insert(load->addresses, g_strdup(node), address);
	fleet_set_remote_load_stale(load->options.fleet, is_large(load));
	/* A report tells the node that this one has started, if it has. */
	peer_load_changed(load);
}

static void on_node_changed(const object_entry_t *entry, void *user_data)
{
	peer_load_t *load = user_data;
	json_t *value = json_loads(entry->data, JSON_DECODE_ANY, NULL);
	const char *text = json_string_value(json_object_get(value, "address"));
	const char *domain =
		json_string_value(json_object_get(value, "domain"));
	const char *node = entry->key + strlen(NODE_PREFIX);
	struct sockaddr_in address = { 0 };

	if (strcmp(node, load->options.node) == 0)
		node_registration_seen(load->registration, entry);
	else if (text && domain && parse_address(text, &address))
		add_address(load, node, domain, &address, entry->version);
	else
		log_warn("node_unreadable", "key=%s", entry->key);
	json_decref(value);
}

static void on_node_removed(const char *key, void *user_data)
{
	peer_load_t *load = user_data;
	const char *node = key + strlen(NODE_PREFIX);

	/* Another node has not heard this one for long. */
	if (strcmp(node, load->options.node) == 0)
		node_registration_removed(load->registration);
	else
		g_hash_table_remove(load->addresses, node);
}

static gboolean is_unlisted(void *node, void *value, void *keys)
{
	const node_address_t *address = value;
	char *key = g_strconcat(NODE_PREFIX, node, NULL);
	bool listed = g_hash_table_contains(keys, key);

	g_free(key);
	return address->version && !listed;
}

/* Entries that were removed while the store was not watched. */
static void on_nodes_listed(GHashTable *keys, void *user_data)
{
	peer_load_t *load = user_data;
	char *own = g_strconcat(NODE_PREFIX, load->options.node, NULL);

	g_hash_table_foreach_remove(load->addresses, is_unlisted, keys);
	if (!g_hash_table_contains(keys, own))
		node_registration_removed(load->registration);
	g_free(own);
}

static void add_news(const char *prefix, const view_news_t *news,
		     void *user_data)
{
	load_own_t *own = user_data;

	if (own->news_count < LOAD_NEWS_MAX)
		own->news[own->news_count++] =
			(load_news_t){ fleet_key(prefix), *news };
}

static void send_report(peer_load_t *load)
{
	char data[DATAGRAM_MAX_BYTES];
	int64_t now_us = clock_now_us(load->options.clock);
	bool to_remote = !is_large(load) || load->send_to_all ||
			 now_us - load->remote_sent_us >=
				 REMOTE_REPORT_INTERVAL_MS * 1000;
	GHashTableIter iter;
	void *value;
	size_t len;

	load->own.news_count = 0;
	follow_group_each_news(load->options.follows, add_news, &load->own);
	len = load_view_encode(load->view, &load->own, data, sizeof(data));
	load->send_to_all = false;
	load->sent_us = now_us;
	if (to_remote)
		load->remote_sent_us = now_us;
	g_hash_table_iter_init(&iter, load->addresses);
	while (len && g_hash_table_iter_next(&iter, NULL, &value)) {
		node_address_t *address = value;

		if (!to_remote &&
		    strcmp(address->domain, load->options.domain) != 0)
			continue;
		if (silent_for_ms(load, address) > NODE_LONG_SILENT_MS) {
			if (now_us - address->sent_us <
			    SILENT_REPORT_INTERVAL_MS * 1000)
				continue;
			address->sent_us = now_us;
		}
		/* The next report replaces one that could not be sent. */
		if (sendto(load->socket, data, len, MSG_DONTWAIT,
			   (const struct sockaddr *)&address->socket,
			   sizeof(address->socket)) < 0)
			continue;
		if (!load->introduced_us)
			load->introduced_us = now_us;
	}
}

static void on_send(evutil_socket_t fd, short events, void *arg)
{
	peer_load_t *load = arg;

	load->send_pending = false;
	send_report(load);
}

static void send_to_all(const peer_load_t *load, const char *data, size_t len)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, load->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_address_t *address = value;

		/* News is repeated, and summaries follow. */
		if (sendto(load->socket, data, len, MSG_DONTWAIT,
			   (const struct sockaddr *)&address->socket,
			   sizeof(address->socket)) < 0)
			continue;
	}
}

static void schedule_parts(peer_load_t *load, int32_t delay_ms)
{
	const struct timeval delay = { 0, delay_ms * 1000 };

	evtimer_add(load->send_parts, &delay);
}

static void on_send_parts(evutil_socket_t fd, short events, void *arg)
{
	peer_load_t *load = arg;
	part_guard_t *guard = load->options.part_guard;
	char data[PART_REPORT_MAX_BYTES];
	part_news_t news;
	size_t len;

	load->parts_pending = false;
	if (!part_guard_take_news(guard, &news))
		return;
	len = part_report_encode(&news, part_guard_now_us(guard), data,
				 sizeof(data));
	send_to_all(load, data, len);
	schedule_parts(load, news.crashes_count == PART_NEWS_CRASHES_MAX ?
				     PART_NEWS_DELAY_MS :
				     PART_NEWS_REPEAT_MS);
}

void peer_load_part_news(peer_load_t *load)
{
	if (load->parts_pending)
		return;
	load->parts_pending = true;
	schedule_parts(load, PART_NEWS_DELAY_MS);
}

static void send_summary(const peer_load_t *load,
			 const struct sockaddr_in *socket)
{
	part_guard_t *guard = load->options.part_guard;
	char data[PART_REPORT_MAX_BYTES];
	part_news_t news;
	size_t len;

	if (!part_guard_summary(guard, &news))
		return;
	len = part_report_encode(&news, part_guard_now_us(guard), data,
				 sizeof(data));
	/* The next summary replaces one that could not be sent. */
	(void)sendto(load->socket, data, len, MSG_DONTWAIT,
		     (const struct sockaddr *)socket, sizeof(*socket));
}

/* Sends a summary about parts to a node chosen at random. */
static void send_parts_summary(peer_load_t *load)
{
	const node_address_t *chosen = NULL;
	GHashTableIter iter;
	uint32_t heard = 0;
	void *value;

	load->parts_summary_us = clock_now_us(load->options.clock);
	g_hash_table_iter_init(&iter, load->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!is_silent(load, value) &&
		    g_rand_int_range(load->options.random, 0,
				     (gint32)++heard) == 0)
			chosen = value;
	if (chosen)
		send_summary(load, &chosen->socket);
}

/* Tells a node that has started what crashes runners, before it sends requests
 * to them. */
static void greet_started(peer_load_t *load, const char *node,
			  const struct sockaddr_in *socket)
{
	double share =
		(double)PART_STARTED_SENDERS / MAX(nodes_in_use(load), 1);

	if (load_view_take_started(load->view, node) &&
	    g_rand_double(load->options.random) < share)
		send_summary(load, socket);
}

static void apply_part_report(peer_load_t *load, const char *data, size_t len)
{
	part_guard_t *guard = load->options.part_guard;
	part_news_t news;

	if (part_report_decode(data, len, part_guard_now_us(guard), &news))
		part_guard_apply(guard, &news);
	else
		log_warn("part_report_unreadable", "bytes=%zu", len);
}

/* Nodes with the highest weights for a stream, in descending order. */
typedef struct keepers {
	const node_address_t *nodes[ORIGIN_DOMAIN_KEEPERS];
	uint64_t weights[ORIGIN_DOMAIN_KEEPERS];
	uint32_t count;
	uint32_t max;
} keepers_t;

static void add_keeper(keepers_t *keepers, const node_address_t *node,
		       uint64_t weight)
{
	uint32_t i = keepers->count;

	while (i > 0 && keepers->weights[i - 1] < weight)
		i--;
	if (i == keepers->max)
		return;
	keepers->count = MIN(keepers->count + 1, keepers->max);
	for (uint32_t j = keepers->count - 1; j > i; j--) {
		keepers->nodes[j] = keepers->nodes[j - 1];
		keepers->weights[j] = keepers->weights[j - 1];
	}
	keepers->nodes[i] = node;
	keepers->weights[i] = weight;
}

static bool is_keeper(const keepers_t *keepers, const node_address_t *node)
{
	for (uint32_t i = 0; i < keepers->count; i++)
		if (keepers->nodes[i] == node)
			return true;
	return false;
}

static uint32_t send_to_keepers(const peer_load_t *load,
				const keepers_t *keepers,
				const keepers_t *except, const char *data,
				size_t len)
{
	uint32_t sent = 0;

	for (uint32_t i = 0; i < keepers->count; i++) {
		const node_address_t *node = keepers->nodes[i];

		/* Another keeper's datagram stands in for one that could not be
		 * sent. */
		if (!is_keeper(except, node) &&
		    sendto(load->socket, data, len, MSG_DONTWAIT,
			   (const struct sockaddr *)&node->socket,
			   sizeof(node->socket)) == (ssize_t)len)
			sent++;
	}
	return sent;
}

/* Draws the keepers of a stream among the nodes that stay, or among all that are
 * not silent. */
static void draw_keepers(const peer_load_t *load, uint64_t stream, bool staying,
			 keepers_t *all, keepers_t *local)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, load->addresses);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const node_address_t *node = value;
		uint64_t weight = rendezvous_weight_of(node->hash, stream);

		if (staying ? !load_view_is_staying(load->view, name) :
			      is_silent(load, node))
			continue;
		add_keeper(all, node, weight);
		if (strcmp(node->domain, load->options.domain) == 0)
			add_keeper(local, node, weight);
	}
}

uint32_t peer_load_send_origin(const peer_load_t *load, uint64_t stream,
			       const char *data, size_t len)
{
	static const keepers_t none = { 0 };
	keepers_t all = { .max = ORIGIN_KEEPERS };
	keepers_t local = { .max = ORIGIN_DOMAIN_KEEPERS };

	draw_keepers(load, stream, true, &all, &local);
	/* None is heard yet, or all stop. */
	if (all.count == 0)
		draw_keepers(load, stream, false, &all, &local);
	return send_to_keepers(load, &all, &none, data, len) +
	       send_to_keepers(load, &local, &all, data, len);
}

static uint64_t socket_key(const struct sockaddr_in *socket)
{
	return (uint64_t)ntohl(socket->sin_addr.s_addr) << 16 |
	       ntohs(socket->sin_port);
}

static void apply_origin_report(peer_load_t *load, const char *data, size_t len,
				const struct sockaddr_in *from)
{
	char answer[STREAM_ORIGIN_MAX_BYTES];
	size_t answer_len = stream_origins_apply(
		load->options.origins, socket_key(from), data, len, answer);

	/* The node asks again when an answer does not come. */
	if (answer_len > 0)
		(void)sendto(load->socket, answer, answer_len, MSG_DONTWAIT,
			     (const struct sockaddr *)from, sizeof(*from));
}

static void on_news(const load_news_t *news, void *user_data)
{
	const peer_load_t *load = user_data;

	follow_group_told(load->options.follows, news->view, &news->news);
}

static void on_checked(void *user_data)
{
	peer_load_t *load = user_data;

	load->send_to_all = true;
	peer_load_changed(load);
}

/* Goes on by the address that a report came from. The entry in the store may be that
 * of a process that has ended: of two that start with one name, the last one to
 * write it. */
static void correct_address(peer_load_t *load, const char *node,
			    node_address_t *address,
			    const struct sockaddr_in *from)
{
	if (address->socket.sin_addr.s_addr == from->sin_addr.s_addr &&
	    address->socket.sin_port == from->sin_port)
		return;
	log_info("node_address_corrected", "peer=%s port=%u former_port=%u",
		 node, ntohs(from->sin_port), ntohs(address->socket.sin_port));
	address->socket.sin_addr = from->sin_addr;
	address->socket.sin_port = from->sin_port;
	peer_load_changed(load);
}

static void note_heard(peer_load_t *load, const char *node,
		       const struct sockaddr_in *from)
{
	node_address_t *address = g_hash_table_lookup(load->addresses, node);

	if (!address) {
		add_address(load, node, load_view_domain(load->view, node),
			    from, 0);
		return;
	}
	/* A report tells the node at once that the cut is over. */
	if (is_silent(load, address))
		peer_load_changed(load);
	address->heard_us = clock_now_us(load->options.clock);
	address->stopping = !load_view_is_staying(load->view, node);
	correct_address(load, node, address, from);
}

static void on_readable(evutil_socket_t fd, short events, void *arg)
{
	peer_load_t *load = arg;
	char data[DATAGRAM_MAX_BYTES];
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	bool load_received = false;
	ssize_t len;

	while ((len = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
			       (struct sockaddr *)&from, &from_len)) > 0) {
		const char *node;

		if (part_report_is(data, (size_t)len)) {
			apply_part_report(load, data, (size_t)len);
			continue;
		}
		if (stream_origin_is_report(data, (size_t)len)) {
			apply_origin_report(load, data, (size_t)len, &from);
			continue;
		}
		node = load_view_apply(load->view, data, (size_t)len);
		if (node) {
			note_heard(load, node, &from);
			greet_started(load, node, &from);
			load_view_each_news(load->view, node, on_news, load);
		}
		load_received |= node != NULL;
		from_len = sizeof(from);
	}
	if (load_received)
		load->options.load_received(load->options.user_data);
}

static gboolean bind_socket(peer_load_t *load, GError **error)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(load->options.port),
	};

	load->socket =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (load->socket >= 0 &&
	    inet_pton(AF_INET, load->options.address, &address.sin_addr) == 1 &&
	    bind(load->socket, (struct sockaddr *)&address, sizeof(address)) ==
		    0)
		return TRUE;
	g_set_error(error, WL_ERROR, WL_ERROR_UNAVAILABLE,
		    "cannot bind the peer port %u: %s", load->options.port,
		    g_strerror(errno));
	if (load->socket >= 0)
		close(load->socket);
	return FALSE;
}

static void follow_nodes(peer_load_t *load)
{
	const follow_options_t options = {
		.base = load->options.base,
		.clock = load->options.clock,
		.store = load->options.stale_store,
		.prefix = NODE_PREFIX,
		.group = load->options.follows,
		.wait_ms = NODE_WATCH_WAIT_MS,
		.pause_ms = NODE_WATCH_PAUSE_MS,
		.changed = on_node_changed,
		.removed = on_node_removed,
		.listed = on_nodes_listed,
		.user_data = load,
	};

	load->follow = follow_new(&options);
}

static void register_node(peer_load_t *load)
{
	const peer_load_options_t *options = &load->options;
	char *key = g_strconcat(NODE_PREFIX, options->node, NULL);
	char *entry = g_strdup_printf(
		"{\"address\":\"%s:%u\",\"domain\":\"%s\"}", options->address,
		options->port, options->domain);
	const node_registration_options_t registration = {
		.base = options->base,
		.store = options->store,
		.key = key,
		.entry = entry,
		.writer = options->writer,
		.counters = options->counters,
	};

	load->registration = node_registration_new(&registration);
	g_free(entry);
	g_free(key);
}

peer_load_t *peer_load_new(const peer_load_options_t *options, GError **error)
{
	peer_load_t *load = g_new0(peer_load_t, 1);
	struct event_base *base = options->base;

	load->options = *options;
	load->created_us = clock_now_us(options->clock);
	if (!bind_socket(load, error)) {
		g_free(load);
		return NULL;
	}
	load->view = load_view_new(options->clock, options->fleet,
				   options->node, options->domain,
				   (uint64_t)clock_wall_ms(options->clock));
	load->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						address_free);
	load->entries_removed_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "node_entries_removed_total", NULL);
	load->send = evtimer_new(base, on_send, load);
	load->send_parts = evtimer_new(base, on_send_parts, load);
	load->readable = event_new(base, load->socket, EV_READ | EV_PERSIST,
				   on_readable, load);
	event_add(load->readable, NULL);
	register_node(load);
	follow_nodes(load);
	follow_group_set_checked(load->options.follows, on_checked, load);
	return load;
}

void peer_load_changed(peer_load_t *load)
{
	const struct timeval delay = { 0, REPORT_BATCH_DELAY_MS * 1000 };

	if (load->send_pending)
		return;
	load->send_pending = true;
	evtimer_add(load->send, &delay);
}

static bool has_demands(const load_own_t *own, const batch_demand_t *demands,
			guint count)
{
	return own->demand_count == count &&
	       (count == 0 ||
		memcmp(own->demands, demands, count * sizeof(*demands)) == 0);
}

void peer_load_report_demands(peer_load_t *load, const batch_demand_t *demands,
			      guint count)
{
	count = MIN(count, BATCH_DEMANDS_MAX);
	if (has_demands(&load->own, demands, count))
		return;
	if (count > 0)
		memcpy(load->own.demands, demands, count * sizeof(*demands));
	load->own.demand_count = count;
	peer_load_changed(load);
}

void peer_load_batch_waiting(peer_load_t *load, uint64_t service,
			     batch_waiting_t *before, batch_waiting_t *after)
{
	load_view_batch_waiting(load->view, service, is_large(load), before,
				after);
}

typedef struct domain_list {
	const peer_load_t *load;
	uint64_t service;
	GArray *domains; /* batch_domain_t */
} domain_list_t;

/* Items of this node that wait for a slot of the service. */
static batch_waiting_t own_waiting(const load_own_t *own, uint64_t service)
{
	for (uint32_t i = 0; i < own->demand_count; i++)
		if (own->demands[i].service == service)
			return own->demands[i].waiting;
	return (batch_waiting_t){ 0 };
}

static void add_domain(const char *name, const fleet_domain_t *domain,
		       void *user_data)
{
	const domain_list_t *list = user_data;
	const peer_load_t *load = list->load;
	const batch_waiting_t own = own_waiting(&load->own, list->service);
	batch_waiting_t waiting;
	batch_domain_t entry = {
		.name = name,
		.local = strcmp(name, load->options.domain) == 0,
		.free_slots = domain->free_slots,
		.slots = domain->total_slots,
	};

	load_view_domain_waiting(load->view, list->service, name, &waiting);
	for (int i = 0; i < BATCH_URGENCIES; i++) {
		if (entry.local)
			waiting.items[i] += own.items[i];
		entry.waiting += waiting.items[i];
	}
	entry.infeasible = waiting.items[BATCH_INFEASIBLE];
	g_array_append_val(list->domains, entry);
}

void peer_load_domains(peer_load_t *load, const char *service, GArray *domains)
{
	domain_list_t list = { load, fleet_key(service), domains };

	if (is_large(load))
		fleet_each_domain(load->options.fleet, service, add_domain,
				  &list);
}

void peer_load_set_store(peer_load_t *load, bool reaches_store)
{
	if (reaches_store != load->own.reaches_store)
		peer_load_changed(load);
	load->own.reaches_store = reaches_store;
}

void peer_load_set_relay(peer_load_t *load, const peer_load_relay_t *relay)
{
	load_own_t *own = &load->own;

	if (relay->port == own->relay_port &&
	    relay->calls == own->relay_calls &&
	    relay->draining == own->relay_draining &&
	    relay->repeatable_only == own->relay_repeatable_only)
		return;
	own->relay_port = relay->port;
	own->relay_calls = relay->calls;
	own->relay_draining = relay->draining;
	own->relay_repeatable_only = relay->repeatable_only;
	peer_load_changed(load);
}

bool peer_load_knows(const peer_load_t *load, const struct in_addr *address)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, load->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_address_t *node = value;

		if (node->socket.sin_addr.s_addr == address->s_addr)
			return true;
	}
	return false;
}

/* Candidates to pass calls on, with their addresses. */
typedef struct relay_list {
	const peer_load_t *load;
	const runner_relay_t *relay;
	uint64_t runner; /* key; 0: any */
	GArray *candidates; /* relay_candidate_t */
	GPtrArray *addresses; /* IP:port */
} relay_list_t;

static void add_relay(const char *node, uint16_t port,
		      const relay_candidate_t *candidate, void *user_data)
{
	relay_list_t *list = user_data;
	const node_address_t *found =
		g_hash_table_lookup(list->load->addresses, node);
	relay_candidate_t entry = *candidate;
	char ip[INET_ADDRSTRLEN];
	char *address;

	if (!found || !entry.accepts ||
	    !inet_ntop(AF_INET, &found->socket.sin_addr, ip, sizeof(ip)))
		return;
	address = g_strdup_printf("%s:%u", ip, port);
	entry.avoided = runner_relay_avoids(list->relay, address, list->runner);
	/* Its report may not yet count this node's latest calls. */
	entry.calls =
		MAX(entry.calls, runner_relay_calls(list->relay, address));
	g_array_append_val(list->candidates, entry);
	g_ptr_array_add(list->addresses, address);
}

bool peer_load_relay_peer(const peer_load_t *load, const runner_relay_t *relay,
			  const runner_relay_need_t *need, char *address,
			  size_t size)
{
	relay_list_t list = {
		.load = load,
		.relay = relay,
		.runner = need->runner,
		.candidates =
			g_array_new(FALSE, FALSE, sizeof(relay_candidate_t)),
		.addresses = g_ptr_array_new_with_free_func(g_free),
	};
	int chosen;

	load_view_each_relay(load->view, need->domain, add_relay, &list);
	chosen = relay_choice(
		(const relay_candidate_t *)list.candidates->data,
		list.candidates->len, fleet_lost_local(load->options.fleet),
		need->repeatable, g_rand_double(load->options.random));
	if (chosen >= 0)
		g_strlcpy(address, list.addresses->pdata[chosen], size);
	g_array_free(list.candidates, TRUE);
	g_ptr_array_free(list.addresses, TRUE);
	return chosen >= 0;
}

bool peer_load_address(const peer_load_t *load, const char *node, char *address,
		       size_t size)
{
	const node_address_t *found =
		g_hash_table_lookup(load->addresses, node);
	char ip[INET_ADDRSTRLEN];

	if (!found ||
	    !inet_ntop(AF_INET, &found->socket.sin_addr, ip, sizeof(ip)))
		return false;
	g_snprintf(address, size, "%s:%u", ip, ntohs(found->socket.sin_port));
	return true;
}

bool peer_load_store_peer(const peer_load_t *load, char *address, size_t size)
{
	const char *node = load_view_store_peer(
		load->view, NULL, g_rand_double(load->options.random));

	return node && peer_load_address(load, node, address, size);
}

const char *peer_load_node_in(const peer_load_t *load, const char *domain)
{
	return load_view_store_peer(load->view, domain,
				    g_rand_double(load->options.random));
}

uint32_t peer_load_lost(const peer_load_t *load, const char *domain)
{
	return load_view_lost(load->view, domain);
}

uint32_t peer_load_peers(const peer_load_t *load)
{
	return load_view_peers(load->view);
}

/* A node that hears no other keeps to an equal share of the runners' limits. The
 * others then fall silent at once, and still have their shares. */
static void update_limit_share(peer_load_t *load)
{
	bool alone = load_view_peers(load->view) == 0;
	uint32_t nodes = nodes_in_use(load);

	load->limit_nodes = alone ? MAX(load->limit_nodes, nodes) : nodes;
	/* Those that have left for good need none. */
	load->limit_nodes =
		MIN(load->limit_nodes, g_hash_table_size(load->addresses));
	fleet_set_limit_share(load->options.fleet,
			      alone ? 1.0 / (load->limit_nodes + 1) : 1.0);
}

bool peer_load_is_introduced(const peer_load_t *load)
{
	int64_t now_us = clock_now_us(load->options.clock);

	if (now_us - load->created_us >= INTRODUCTION_MAX_MS * 1000)
		return true;
	if (load->introduced_us)
		return now_us - load->introduced_us >= GREETING_MS * 1000;
	return follow_is_synced(load->follow) &&
	       g_hash_table_size(load->addresses) == 0;
}

/* Time for which this node has heard others without a break. */
static int64_t contact_ms(const peer_load_t *load)
{
	if (!load->contact_since_us)
		return 0;
	return (clock_now_us(load->options.clock) - load->contact_since_us) /
	       1000;
}

/* The silence of the others says nothing while this node is cut off itself, or
 * does not run. */
static void update_contact(peer_load_t *load, int64_t now_us)
{
	bool paused = now_us - load->silent_counted_us > NODE_SILENT_MS * 1000;

	if (load_view_peers(load->view) == 0)
		load->contact_since_us = 0;
	else if (!load->contact_since_us || paused)
		load->contact_since_us = now_us;
}

static bool is_gone(const peer_load_t *load, const node_address_t *address)
{
	/* It has withdrawn its entry, and said that it stops. */
	if (!address->version && address->stopping)
		return true;
	return MIN(silent_for_ms(load, address), contact_ms(load)) >
	       address->removal_ms;
}

static void on_entry_removed(const object_value_t *value, const GError *error,
			     void *user_data)
{
	peer_load_t *load = user_data;

	/* The next try finds out what has become of the entry. */
	if (error)
		log_info("node_entry_kept", "error=%s",
			 error_name(error->code));
	else
		(*load->entries_removed_total)++;
}

static void remove_entry(peer_load_t *load, const char *node,
			 node_address_t *address)
{
	char *key = g_strconcat(NODE_PREFIX, node, NULL);

	log_info("node_entry_removed",
		 "node=%s silent_ms=%" PRId64 " contact_ms=%" PRId64,
		 log_quote(node), silent_for_ms(load, address),
		 contact_ms(load));
	address->removal_ms += NODE_GONE_MS;
	object_remove(load->options.store, key, address->version,
		      on_entry_removed, load);
	g_free(key);
}

/* Counts the nodes that are silent for long. Removes the entries of those that are
 * gone, and forgets those that are known by their reports alone. */
static void check_silent_nodes(peer_load_t *load)
{
	bool was_large = is_large(load);
	int64_t now_us = clock_now_us(load->options.clock);
	GHashTableIter iter;
	void *node;
	void *value;

	if (now_us - load->silent_counted_us < SILENT_CHECK_INTERVAL_MS * 1000)
		return;
	update_contact(load, now_us);
	load->silent_counted_us = now_us;
	load->silent_nodes = 0;
	g_hash_table_iter_init(&iter, load->addresses);
	while (g_hash_table_iter_next(&iter, &node, &value)) {
		node_address_t *address = value;

		if (silent_for_ms(load, address) <= NODE_LONG_SILENT_MS)
			continue;
		load->silent_nodes++;
		if (!is_gone(load, address))
			continue;
		if (address->version) {
			remove_entry(load, node, address);
			continue;
		}
		/* It has no entry whose removal would tell. */
		log_info("node_forgotten", "node=%s silent_ms=%" PRId64,
			 log_quote(node), silent_for_ms(load, address));
		load->silent_nodes--;
		g_hash_table_iter_remove(&iter);
	}
	if (is_large(load) != was_large)
		fleet_set_remote_load_stale(load->options.fleet,
					    is_large(load));
}

void peer_load_withdraw(peer_load_t *load)
{
	node_registration_withdraw(load->registration);
}

void peer_load_tick(peer_load_t *load)
{
	load_view_expire(load->view);
	check_silent_nodes(load);
	update_limit_share(load);
	follow_group_set_nodes(load->options.follows,
			       load_view_peers(load->view) + 1);
	if (clock_now_us(load->options.clock) - load->parts_summary_us >=
	    PART_SUMMARY_INTERVAL_MS * 1000)
		send_parts_summary(load);
	if (clock_now_us(load->options.clock) - load->sent_us >=
	    REPORT_INTERVAL_MS * 1000)
		send_report(load);
}
