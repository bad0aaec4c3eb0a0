#include "rpc/peer_datagram.h"

#include <string.h>

#define PARTS 3

typedef struct window {
	uint64_t stamps[PEER_DATAGRAM_WINDOW];
	int64_t used_ms;
} window_t;

struct peer_datagram {
	peer_key_t *key;
	const clock_source_t *clock;
	GHashTable *windows; /* sender's address -> window_t */
	uint64_t last_stamp; /* sent */
	int64_t pruned_ms;
};

peer_datagram_t *peer_datagram_new(peer_key_t *key, const clock_source_t *clock)
{
	peer_datagram_t *datagram = g_new0(peer_datagram_t, 1);

	datagram->key = key;
	datagram->clock = clock;
	datagram->windows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return datagram;
}

void peer_datagram_free(peer_datagram_t *datagram)
{
	if (!datagram)
		return;
	g_hash_table_destroy(datagram->windows);
	g_free(datagram);
}

static void fill_parts(const char *receiver, const char *data, size_t len,
		       const uint64_t *wire_stamp, peer_key_part_t *parts)
{
	parts[0] = (peer_key_part_t){ receiver, strlen(receiver) };
	parts[1] = (peer_key_part_t){ data, len };
	parts[2] = (peer_key_part_t){ wire_stamp, sizeof(*wire_stamp) };
}

size_t peer_datagram_seal(peer_datagram_t *datagram, const char *receiver,
			  char *data, size_t len)
{
	uint64_t now = (uint64_t)clock_wall_ms(datagram->clock) * 1000;
	peer_key_part_t parts[PARTS];
	uint64_t wire;

	datagram->last_stamp = MAX(datagram->last_stamp + 1, now);
	wire = GUINT64_TO_BE(datagram->last_stamp);
	fill_parts(receiver, data, len, &wire, parts);
	memcpy(data + len, &wire, sizeof(wire));
	peer_key_sign(datagram->key, "datagram", parts, PARTS,
		      (uint8_t *)data + len + sizeof(wire));
	return len + PEER_DATAGRAM_TRAILER_BYTES;
}

gboolean peer_datagram_open(const peer_datagram_t *datagram,
			    const char *receiver, const char *data, size_t *len,
			    uint64_t *stamp)
{
	peer_key_part_t parts[PARTS];
	const char *trailer;
	uint64_t wire;

	if (*len < PEER_DATAGRAM_TRAILER_BYTES)
		return FALSE;
	*len -= PEER_DATAGRAM_TRAILER_BYTES;
	trailer = data + *len;
	memcpy(&wire, trailer, sizeof(wire));
	*stamp = GUINT64_FROM_BE(wire);
	fill_parts(receiver, data, *len, &wire, parts);
	return peer_key_verify(datagram->key, "datagram", parts, PARTS,
			       (const uint8_t *)trailer + sizeof(wire));
}

static gboolean is_old(void *key, void *value, void *user_data)
{
	const window_t *window = value;
	const int64_t *now_ms = user_data;

	return *now_ms - window->used_ms > PEER_DATAGRAM_KEEP_MS;
}

static window_t *find_window(peer_datagram_t *datagram, const char *sender)
{
	int64_t now_ms = clock_now_ms(datagram->clock);
	window_t *window;

	if (now_ms - datagram->pruned_ms > PEER_DATAGRAM_KEEP_MS) {
		datagram->pruned_ms = now_ms;
		g_hash_table_foreach_remove(datagram->windows, is_old, &now_ms);
	}
	window = g_hash_table_lookup(datagram->windows, sender);
	if (!window) {
		window = g_new0(window_t, 1);
		g_hash_table_insert(datagram->windows, g_strdup(sender),
				    window);
	}
	return window;
}

gboolean peer_datagram_is_new(peer_datagram_t *datagram, const char *sender,
			      uint64_t stamp)
{
	window_t *window = find_window(datagram, sender);
	size_t lowest = 0;

	for (size_t i = 0; i < PEER_DATAGRAM_WINDOW; i++) {
		if (window->stamps[i] == stamp)
			return FALSE;
		if (window->stamps[i] < window->stamps[lowest])
			lowest = i;
	}
	if (stamp < window->stamps[lowest])
		return FALSE;
	window->stamps[lowest] = stamp;
	window->used_ms = clock_now_ms(datagram->clock);
	return TRUE;
}
