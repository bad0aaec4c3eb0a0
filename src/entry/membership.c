#include "entry/membership.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "coord/rendezvous.h"
#include "coord/swim.h"
#include "object/object_store.h"
#include "rpc/member_xdr.h"
#include "rpc/peer_datagram.h"

#define DATAGRAM_MAX_BYTES 2048
/* Limits the reads per event, so that a burst of datagrams does not delay
 * requests in the event loop. */
#define MAX_READS_PER_EVENT 64

struct membership {
	member_table_t *members;
	swim_t *swim;
	struct event *read_event;
	struct event *tick_event;
	evutil_socket_t fd;
	peer_key_t *key; /* NULL: no authentication */
	peer_datagram_t *datagram;
	GPtrArray *seeds; /* from the settings */
	int64_t *datagrams_sent;
	int64_t *datagrams_received;
	int64_t *bytes_sent;
	int64_t *bytes_received;
	int64_t *malformed;
	int64_t *alive;
};

static void on_send(const char *address, const member_message *message,
		    void *user_data)
{
	membership_t *membership = user_data;
	char data[DATAGRAM_MAX_BYTES];
	struct sockaddr_storage storage;
	int len = sizeof(storage);
	uint32_t used;
	XDR xdrs;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&storage,
				       &len) != 0)
		return;
	xdrmem_create(&xdrs, data, sizeof(data) - PEER_DATAGRAM_TRAILER_BYTES,
		      XDR_ENCODE);
	if (!xdr_member_message(&xdrs, (member_message *)message)) {
		log_error("membership_encode_failed", "address=%s", address);
		xdr_destroy(&xdrs);
		return;
	}
	used = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (membership->key)
		used = (uint32_t)peer_datagram_seal(membership->datagram,
						    address, data, used);
	/* A failed send is equivalent to a datagram lost in the network, which
	 * the failure detector tolerates. */
	if (sendto(membership->fd, data, used, 0, (struct sockaddr *)&storage,
		   (socklen_t)len) < 0)
		return;
	++*membership->datagrams_sent;
	*membership->bytes_sent += used;
}

static void on_changed(const member_t *member, void *user_data)
{
	membership_t *membership = user_data;

	*membership->alive = member_count(membership->members, MEMBER_ALIVE);
	log_info("member", "address=%s domain=%s state=%s incarnation=%" PRIu64,
		 member->address, member->domain,
		 member_state_name(member->state), member->incarnation);
}

static void reject_datagram(membership_t *membership, const char *from)
{
	peer_key_refused(membership->key, "datagram", from);
}

static void deliver_message(membership_t *membership,
			    const member_message *message, uint64_t stamp)
{
	if (membership->key &&
	    !peer_datagram_is_new(membership->datagram, message->sender.address,
				  stamp))
		reject_datagram(membership, message->sender.address);
	else
		swim_receive(membership->swim, message);
}

static void receive_datagram(membership_t *membership, char *data, size_t len,
			     const char *from)
{
	const char *self = member_self(membership->members)->address;
	member_message message = { 0 };
	uint64_t stamp = 0;
	XDR xdrs;

	++*membership->datagrams_received;
	*membership->bytes_received += (int64_t)len;
	if (membership->key && !peer_datagram_open(membership->datagram, self,
						   data, &len, &stamp)) {
		reject_datagram(membership, from);
		return;
	}
	xdrmem_create(&xdrs, data, (u_int)len, XDR_DECODE);
	if (xdr_member_message(&xdrs, &message))
		deliver_message(membership, &message, stamp);
	else
		++*membership->malformed;
	xdr_destroy(&xdrs);
	xdr_free((xdrproc_t)xdr_member_message, &message);
}

static void on_readable(evutil_socket_t fd, short events, void *arg)
{
	char data[DATAGRAM_MAX_BYTES];

	for (int i = 0; i < MAX_READS_PER_EVENT; i++) {
		struct sockaddr_in sin = { 0 };
		socklen_t sin_len = sizeof(sin);
		ssize_t len = recvfrom(fd, data, sizeof(data), 0,
				       (struct sockaddr *)&sin, &sin_len);
		char from[INET_ADDRSTRLEN] = "";

		if (len < 0)
			return;
		inet_ntop(AF_INET, &sin.sin_addr, from, sizeof(from));
		receive_datagram(arg, data, (size_t)len, from);
	}
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	swim_tick(((membership_t *)arg)->swim);
}

static gboolean parse_seeds(GPtrArray *seeds, const char *text, GError **error)
{
	char **items = g_strsplit(text ? text : "", ",", -1);
	gboolean ok = TRUE;

	for (char **item = items; ok && *item; item++) {
		struct sockaddr_storage storage;
		int len = sizeof(storage);

		if (!(*item)[0])
			continue;
		ok = strchr(*item, ':') &&
		     evutil_parse_sockaddr_port(
			     *item, (struct sockaddr *)&storage, &len) == 0;
		if (ok)
			g_ptr_array_add(seeds, g_strdup(*item));
		else
			g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
				    "--seeds: '%s' is not IP:PORT", *item);
	}
	g_strfreev(items);
	return ok;
}

static evutil_socket_t bind_socket(const char *address, GError **error)
{
	struct sockaddr_storage storage;
	int len = sizeof(storage);
	evutil_socket_t fd;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&storage,
				       &len) != 0) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "'%s' is not IP:PORT", address);
		return -1;
	}
	fd = socket(storage.ss_family,
		    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&storage, (socklen_t)len) == 0)
		return fd;
	g_set_error(error, WL_ERROR, WL_ERROR_UNAVAILABLE,
		    "cannot bind UDP %s: %s", address, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void find_counters(membership_t *membership, counter_set_t *counters)
{
	const struct {
		int64_t **counter;
		counter_kind_t kind;
		const char *name;
	} table[] = {
		{ &membership->datagrams_sent, COUNTER_MONOTONIC,
		  "membership_datagrams_sent_total" },
		{ &membership->datagrams_received, COUNTER_MONOTONIC,
		  "membership_datagrams_received_total" },
		{ &membership->bytes_sent, COUNTER_MONOTONIC,
		  "membership_bytes_sent_total" },
		{ &membership->bytes_received, COUNTER_MONOTONIC,
		  "membership_bytes_received_total" },
		{ &membership->malformed, COUNTER_MONOTONIC,
		  "membership_malformed_total" },
		{ &membership->alive, COUNTER_GAUGE,
		  "membership_alive_members" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++)
		*table[i].counter = counter_get(counters, table[i].kind,
						table[i].name, NULL);
	*membership->alive = 1;
}

static swim_t *start_swim(membership_t *membership,
			  const membership_options_t *options)
{
	swim_options_t swim_options = {
		.members = options->members,
		.clock = options->clock,
		.random = options->random,
		.fleet = (uint32_t)rendezvous_hash(
			options->environment, strlen(options->environment), 0),
		/* The start time distinguishes a restarted node from its
		 * earlier process, which may be recorded as dead. */
		.incarnation = (uint64_t)clock_wall_ms(options->clock),
		.send = on_send,
		.changed = on_changed,
		.user_data = membership,
	};

	return swim_new(&swim_options);
}

membership_t *membership_new(const membership_options_t *options,
			     GError **error)
{
	membership_t *membership = g_new0(membership_t, 1);
	struct timeval tick = { 0, SWIM_TICK_MS * 1000 };

	membership->members = options->members;
	membership->key = options->peer_key;
	membership->seeds = g_ptr_array_new_with_free_func(g_free);
	membership->fd = -1;
	if (parse_seeds(membership->seeds, options->seeds, error))
		membership->fd = bind_socket(
			member_self(options->members)->address, error);
	if (membership->fd < 0) {
		g_ptr_array_free(membership->seeds, TRUE);
		g_free(membership);
		return NULL;
	}
	find_counters(membership, options->counters);
	if (membership->key)
		membership->datagram =
			peer_datagram_new(membership->key, options->clock);
	membership->swim = start_swim(membership, options);
	swim_set_seeds(membership->swim, membership->seeds);
	membership->read_event =
		event_new(options->base, membership->fd, EV_READ | EV_PERSIST,
			  on_readable, membership);
	membership->tick_event =
		event_new(options->base, -1, EV_PERSIST, on_tick, membership);
	event_add(membership->read_event, NULL);
	event_add(membership->tick_event, &tick);
	return membership;
}

void membership_free(membership_t *membership)
{
	if (!membership)
		return;
	event_free(membership->read_event);
	event_free(membership->tick_event);
	close(membership->fd);
	swim_free(membership->swim);
	peer_datagram_free(membership->datagram);
	g_ptr_array_free(membership->seeds, TRUE);
	g_free(membership);
}

void membership_set_vms(membership_t *membership, const GArray *vms)
{
	GPtrArray *seeds = g_ptr_array_new();

	for (guint i = 0; i < membership->seeds->len; i++)
		g_ptr_array_add(seeds, membership->seeds->pdata[i]);
	for (guint i = 0; i < vms->len; i++) {
		const platform_vm_t *vm = &g_array_index(vms, platform_vm_t, i);

		if (strcmp(vm->role, "entry") == 0 &&
		    strcmp(vm->state, "live") == 0)
			g_ptr_array_add(seeds, vm->address);
	}
	swim_set_seeds(membership->swim, seeds);
	g_ptr_array_free(seeds, TRUE);
}

void membership_drain(membership_t *membership)
{
	swim_drain(membership->swim);
}

void membership_leave(membership_t *membership)
{
	swim_leave(membership->swim);
}

void membership_announce_config(membership_t *membership, uint64_t version,
				const uint8_t *digest)
{
	swim_announce_config(membership->swim, version, digest);
}

void membership_announce_store(membership_t *membership, bool reachable)
{
	swim_announce_store(membership->swim, reachable);
}
