#include "coord/swim_relay.h"

#include "coord/swim_message.h"

#define MAX_RELAYS 64

void swim_relay_free(void *data)
{
	relay_t *relay = data;

	g_free(relay->origin);
	g_free(relay);
}

void swim_relay_expire(swim_t *swim, int64_t now)
{
	relay_t *relay;

	while ((relay = g_queue_peek_head(&swim->relays)) &&
	       now >= relay->nack_ms) {
		g_queue_pop_head(&swim->relays);
		swim_message_send(swim, relay->origin, MEMBER_NACK,
				  relay->origin_sequence, relay->origin);
		swim_relay_free(relay);
	}
}

void swim_relay_receive(swim_t *swim, const member_message *message)
{
	relay_t *relay;

	if (g_queue_get_length(&swim->relays) >= MAX_RELAYS)
		return;
	relay = g_new0(relay_t, 1);
	relay->origin = g_strdup(message->sender.address);
	relay->origin_sequence = message->sequence;
	relay->sequence = ++swim->sequence;
	relay->nack_ms = swim_state_now_ms(swim) + swim->options.ack_timeout_ms;
	g_queue_push_tail(&swim->relays, relay);
	swim_message_send(swim, message->target, MEMBER_PING, relay->sequence,
			  message->target);
}
