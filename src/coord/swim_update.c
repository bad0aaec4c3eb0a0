#include "coord/swim_update.h"

#include <math.h>
#include <string.h>

#include "coord/swim_message.h"

/* A suspicion lasts this many periods, times log10 of the member count. */
#define SUSPICION_FACTOR 4
/* Each update is sent this many times, times log2 of the member count. */
#define RETRANSMIT_FACTOR 3
/* Updates from a complete table are mostly known to others, so they are sent
 * less often. They are not dropped, because nodes that join together get
 * incomplete tables. */
#define TABLE_UPDATE_RETRANSMITS 2

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

void swim_update_set_state(swim_t *swim, member_t *member, member_state_t state,
			   uint64_t incarnation)
{
	peer_t *peer = swim_state_peer(swim, member->address);
	gboolean changed = member->state != state;

	member->state = state;
	member->incarnation = incarnation;
	peer->sends_remaining =
		swim->receiving_table &&
				!swim_state_is_self(swim, member->address) ?
			TABLE_UPDATE_RETRANSMITS :
			retransmits(swim);
	if (state == MEMBER_SUSPECT)
		peer->suspect_until_ms =
			swim_state_now_ms(swim) + suspicion_ms(swim);
	if (state == MEMBER_DEAD)
		peer->dead_since_ms = swim_state_now_ms(swim);
	if (changed && swim->options.changed)
		swim->options.changed(member, swim->options.user_data);
}

/* At the same incarnation the worse state wins. */
static gboolean supersedes(const member_t *member, member_state_t state,
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

void swim_update_self(swim_t *swim, member_state_t state, uint64_t incarnation)
{
	swim_update_set_state(swim, member_self(swim->members), state,
			      incarnation);
	swim_message_gossip(swim, state == MEMBER_DEAD ? SWIM_LEAVE_FANOUT :
							 SWIM_GOSSIP_FANOUT);
}

static void apply_to_self(swim_t *swim, member_state_t state,
			  uint64_t incarnation)
{
	const member_t *self = member_self(swim->members);
	gboolean needs_refutation =
		state == MEMBER_SUSPECT || state == MEMBER_DEAD;

	if (swim->has_left || incarnation < self->incarnation ||
	    (!needs_refutation && incarnation == self->incarnation))
		return;
	/* A node that was declared dead has missed updates. */
	if (state == MEMBER_DEAD)
		swim_state_start_syncs(swim);
	if (needs_refutation)
		swim_state_change_health(swim, 1);
	swim_update_self(swim, self->state, incarnation + 1);
}

void swim_update_apply(swim_t *swim, const member_update *update)
{
	bool store_unreachable = update->state & MEMBER_NO_STORE_FLAG;
	u_int number = update->state & ~(u_int)MEMBER_NO_STORE_FLAG;
	member_state_t state = (member_state_t)number;
	member_t *member;

	if (number > MEMBER_DEAD || !update->address[0])
		return;
	if (swim_state_is_self(swim, update->address)) {
		apply_to_self(swim, state, update->incarnation);
		return;
	}
	member = member_find(swim->members, update->address);
	if (member) {
		if (!supersedes(member, state, update->incarnation))
			return;
		if (update->incarnation > member->incarnation)
			member->store_unreachable = store_unreachable;
		swim_update_set_state(swim, member, state, update->incarnation);
		return;
	}
	/* An unknown dead member is not added: it may have been removed here
	 * earlier than elsewhere. */
	if (state == MEMBER_DEAD)
		return;
	member = member_add(swim->members, update->address, update->domain);
	member->store_unreachable = store_unreachable;
	swim_update_set_state(swim, member, state, update->incarnation);
	if (state == MEMBER_ALIVE && swim->options.changed)
		swim->options.changed(member, swim->options.user_data);
}

void swim_update_suspect(swim_t *swim, const char *address)
{
	member_t *member = member_find(swim->members, address);

	if (member &&
	    (member->state == MEMBER_ALIVE || member->state == MEMBER_DRAINING))
		swim_update_set_state(swim, member, MEMBER_SUSPECT,
				      member->incarnation);
}

void swim_update_set_peer_config(swim_t *swim, const member_message *message)
{
	member_t *member = member_find(swim->members, message->sender.address);

	if (!member || member->incarnation != message->sender.incarnation ||
	    member->config_version == message->config_version)
		return;
	/* A restarted member may have an older configuration than before. */
	member->config_version = message->config_version;
	memcpy(member->config_digest, message->config_digest,
	       MEMBER_CONFIG_DIGEST_BYTES);
}

void swim_update_expire(swim_t *swim, int64_t now)
{
	const GPtrArray *all = member_all(swim->members);

	for (guint i = all->len; i > 1; i--) {
		member_t *member = all->pdata[i - 1];
		peer_t *peer = swim_state_peer(swim, member->address);

		if (member->state == MEMBER_SUSPECT &&
		    now >= peer->suspect_until_ms) {
			swim_update_set_state(swim, member, MEMBER_DEAD,
					      member->incarnation);
		} else if (member->state == MEMBER_DEAD &&
			   now >= peer->dead_since_ms +
					   swim->options.dead_retention_ms) {
			g_hash_table_remove(swim->peers, member->address);
			member_remove(swim->members, member->address);
		}
	}
}
