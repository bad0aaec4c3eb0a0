#include "emulator/standin_server.h"

#include <event2/event.h>
#include <signal.h>

#include "base/log.h"

static void on_signal(evutil_socket_t fd, short events, void *arg)
{
	event_base_loopbreak(arg);
}

http_server_t *standin_server_listen(const http_server_options_t *options)
{
	GError *error = NULL;
	http_server_t *server = http_server_new(options, &error);

	if (!server) {
		log_error("listen_failed", "message=%s",
			  log_quote(error->message));
		g_error_free(error);
		return NULL;
	}
	log_info("started", "address=%s port=%u", options->address,
		 http_server_port(server));
	return server;
}

void standin_server_run(struct event_base *base)
{
	struct event *term = evsignal_new(base, SIGTERM, on_signal, base);
	struct event *interrupt = evsignal_new(base, SIGINT, on_signal, base);

	event_add(term, NULL);
	event_add(interrupt, NULL);
	event_base_dispatch(base);
	event_free(term);
	event_free(interrupt);
}
