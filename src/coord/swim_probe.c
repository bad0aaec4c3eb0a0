#include "coord/swim_probe.h"

#include "coord/swim_message.h"
#include "coord/swim_update.h"

#define INDIRECT_PROBES 3
#define SEED_PROBES 3

void swim_probe_end(swim_t *swim)
{
	g_free(swim->probe.address);
	swim->probe = (probe_t){ 0 };
}

void swim_probe_failed(swim_t *swim)
{
	probe_t *probe = &swim->probe;

	/* Helpers that sent neither an ack nor a nack indicate a fault of this
	 * node. */
	swim_state_change_health(
		swim,
		probe->indirect_sent && probe->nacks_missing == 0 ? 0 : 1);
	swim_update_suspect(swim, probe->address);
	swim_probe_end(swim);
}

static void refill_probe_order(swim_t *swim)
{
	const GPtrArray *all = member_all(swim->members);

	for (guint i = 1; i < all->len; i++) {
		const member_t *member = all->pdata[i];

		if (member->state != MEMBER_DEAD)
			g_ptr_array_add(swim->probe_order,
					g_strdup(member->address));
	}
	for (guint i = swim->probe_order->len; i > 1; i--) {
		guint j = (guint)g_rand_int_range(swim->options.random, 0,
						  (gint32)i);
		void *swap = swim->probe_order->pdata[i - 1];

		swim->probe_order->pdata[i - 1] = swim->probe_order->pdata[j];
		swim->probe_order->pdata[j] = swap;
	}
}

/* Returns the next member of the round; each is probed once per round, in
 * random order. */
static char *next_target(swim_t *swim)
{
	if (swim->probe_order->len == 0)
		refill_probe_order(swim);
	while (swim->probe_order->len > 0) {
		char *address = g_ptr_array_steal_index(
			swim->probe_order, swim->probe_order->len - 1);
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

void swim_probe_contact_seeds(swim_t *swim, guint count)
{
	guint len = swim->seeds->len;
	guint start = len ? (guint)g_rand_int_range(swim->options.random, 0,
						    (gint32)len) :
			    0;

	for (guint i = 0; i < len && count > 0; i++) {
		const char *address = swim->seeds->pdata[(start + i) % len];

		if (is_live(swim, address))
			continue;
		swim_message_send(swim, address, MEMBER_PING, ++swim->sequence,
				  address);
		count--;
	}
}

void swim_probe_contact_dead(swim_t *swim)
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
		swim_message_send(swim, picked, MEMBER_PING, ++swim->sequence,
				  picked);
}

void swim_probe_start(swim_t *swim, int64_t now)
{
	probe_t *probe = &swim->probe;

	probe->address = next_target(swim);
	if (!probe->address) {
		swim_probe_contact_seeds(swim, SEED_PROBES);
		return;
	}
	probe->sequence = ++swim->sequence;
	probe->indirect_ms = now + (int64_t)swim->options.ack_timeout_ms *
					   (swim->health + 1);
	swim_message_send(swim, probe->address, MEMBER_PING, probe->sequence,
			  probe->address);
}

void swim_probe_indirectly(swim_t *swim)
{
	probe_t *probe = &swim->probe;
	const char *helpers[INDIRECT_PROBES];
	guint count = swim_state_pick_live(swim, probe->address, helpers,
					   INDIRECT_PROBES);

	probe->indirect_sent = TRUE;
	probe->nacks_missing = count;
	for (guint i = 0; i < count; i++)
		swim_message_send(swim, helpers[i], MEMBER_PING_REQUEST,
				  probe->sequence, probe->address);
}
