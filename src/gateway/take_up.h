#ifndef WASABILINK_GATEWAY_TAKE_UP_H
#define WASABILINK_GATEWAY_TAKE_UP_H

#include <stdint.h>

#include "gateway/path_table.h"
#include "gateway/relay.h"
#include "gateway/stream_origin.h"
#include "http/http_server.h"

/*
 * take_up - requests of clients that go on with a stream, while other nodes are
 * asked at which software version it began.
 *
 * A request waits until a node knows the version, until all that were asked do
 * not, or for the time of some round trips.
 */
typedef struct take_ups take_ups_t;

typedef struct take_up {
	path_table_t *paths;
	const path_route_t *route;
	http_exchange_t *exchange;
	relay_request_t request; /* owns its strings */
} take_up_t;

typedef struct take_ups_options {
	const clock_source_t *clock;
	stream_origins_t *origins;
	/* The version is known, or cannot be (0). The exchange is the callee's
	 * from now on, the rest is valid until it returns. */
	void (*resolved)(const take_up_t *take_up, uint64_t version,
			 void *user_data);
	void *user_data;
} take_ups_options_t;

take_ups_t *take_ups_new(const take_ups_options_t *options);
/* Takes ownership of the exchange; take_up->request is copied. stream is that of
 * stream_origin_key(). */
void take_ups_add(take_ups_t *take_ups, const take_up_t *take_up,
		  uint64_t stream);
/* A node, by its key, has answered; version 0: it does not know. */
void take_ups_answered(take_ups_t *take_ups, uint64_t stream, uint64_t node,
		       uint64_t version);
/* Asks again and ends waits. To be called several times per second. */
void take_ups_tick(take_ups_t *take_ups);
uint32_t take_ups_count(const take_ups_t *take_ups);

#endif
