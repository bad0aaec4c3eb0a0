#include "gateway/contact_probe.h"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <sys/socket.h>

#include "base/log.h"

/* Allows for several round trips between failure domains. */
#define CONNECT_TIMEOUT_MS 250

struct contact_probe {
	contact_probe_options_t options;
	int64_t *probes_total;
};

typedef struct connection {
	contact_probe_t *probe;
	struct bufferevent *bev;
	uint64_t runner; /* key */
} connection_t;

static void on_event(struct bufferevent *bev, short events, void *arg)
{
	connection_t *connection = arg;
	fleet_t *fleet = connection->probe->options.fleet;
	fleet_runner_t *runner = fleet_find(fleet, connection->runner);

	if (runner && events & BEV_EVENT_CONNECTED)
		fleet_answered(fleet, runner);
	else if (runner)
		fleet_no_contact(fleet, runner);
	bufferevent_free(bev);
	g_free(connection);
}

static void start(contact_probe_t *probe, const fleet_runner_t *runner)
{
	const struct timeval timeout = { 0, CONNECT_TIMEOUT_MS * 1000 };
	connection_t *connection;
	struct sockaddr_storage address;
	int len = sizeof(address);

	if (evutil_parse_sockaddr_port(
		    runner->address, (struct sockaddr *)&address, &len) != 0) {
		log_warn("runner_address_unusable", "runner=%s", runner->id);
		return;
	}
	(*probe->probes_total)++;
	connection = g_new0(connection_t, 1);
	connection->probe = probe;
	connection->runner = runner->key;
	connection->bev = bufferevent_socket_new(
		probe->options.base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(connection->bev, NULL, NULL, on_event, connection);
	bufferevent_set_timeouts(connection->bev, &timeout, &timeout);
	bufferevent_enable(connection->bev, EV_WRITE);
	/* A failure is also reported by the callback. */
	if (bufferevent_socket_connect(connection->bev,
				       (struct sockaddr *)&address, len) != 0)
		log_info("probe_failed", "runner=%s", runner->id);
}

contact_probe_t *contact_probe_new(const contact_probe_options_t *options)
{
	contact_probe_t *probe = g_new0(contact_probe_t, 1);

	probe->options = *options;
	probe->probes_total = counter_get(options->counters, COUNTER_MONOTONIC,
					  "contact_probes_total", NULL);
	return probe;
}

void contact_probe_tick(contact_probe_t *probe)
{
	const fleet_runner_t *runner;

	while ((runner = fleet_next_probe(probe->options.fleet)))
		start(probe, runner);
}
