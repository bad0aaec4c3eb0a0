#include "rpc/peer_key.h"

#include <string.h>

#include "rpc/peer_datagram.h"
#include "rpc/rpc_auth.h"
#include "unit.h"

#define OLD "0123456789abcdef0123456789abcdef"
#define NEW "a different key of enough bytes.."
#define OTHER "the key of another fleet altogether"
#define PAYLOAD "a payload"

static clock_manual_t clock_manual;

static peer_key_t *key_of(const char *text)
{
	return peer_key_new(text, strlen(text), NULL);
}

/* A key that is too short, or a third one, must end the start. */
static void test_files(void)
{
	static const char *const wrong[] = { "", "\n\n", "short\n", OLD "\nx\n",
					     OLD "\n" NEW "\n" OTHER "\n" };
	GError *error = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		CU_ASSERT_PTR_NULL(
			peer_key_new(wrong[i], strlen(wrong[i]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
	CU_ASSERT_PTR_NULL(peer_key_new(OLD "\0x", sizeof(OLD) + 1, &error));
	g_clear_error(&error);
	peer_key_free(key_of(OLD "\r\n" NEW));
}

static gboolean accepts(const char *sender, const char *receiver)
{
	const peer_key_part_t part = { PAYLOAD, sizeof(PAYLOAD) };
	peer_key_t *from = key_of(sender);
	peer_key_t *to = key_of(receiver);
	uint8_t mac[PEER_KEY_MAC_BYTES];
	gboolean ok;

	peer_key_sign(from, "x", &part, 1, mac);
	ok = peer_key_verify(to, "x", &part, 1, mac);
	CU_ASSERT_FALSE(peer_key_verify(to, "y", &part, 1, mac));
	peer_key_free(from);
	peer_key_free(to);
	return ok;
}

/* Each step of a rotation must accept the step before and the one after. */
static void test_rotation(void)
{
	static const char *const steps[] = { OLD, OLD "\n" NEW, NEW "\n" OLD,
					     NEW };

	for (size_t i = 0; i + 1 < G_N_ELEMENTS(steps); i++) {
		CU_ASSERT(accepts(steps[i], steps[i + 1]));
		CU_ASSERT(accepts(steps[i + 1], steps[i]));
	}
	CU_ASSERT_FALSE(accepts(OLD, NEW));
	CU_ASSERT_FALSE(accepts(OTHER, OLD "\n" NEW));
}

static peer_datagram_t *datagram_of(peer_key_t *key)
{
	return peer_datagram_new(key, &clock_manual.base);
}

/* A datagram with any changed bit, cut, for another node or of another key
 * must not be taken. */
static void test_datagram(void)
{
	char data[sizeof(PAYLOAD) + PEER_DATAGRAM_TRAILER_BYTES] = PAYLOAD;
	peer_key_t *key = key_of(OLD);
	peer_key_t *other = key_of(OTHER);
	peer_datagram_t *a = datagram_of(key);
	peer_datagram_t *b = datagram_of(other);
	size_t len = sizeof(PAYLOAD);
	size_t used = peer_datagram_seal(a, "to", data, len);
	uint64_t stamp;

	CU_ASSERT_EQUAL(used, sizeof(data));
	for (size_t i = 0; i < used * 8; i++) {
		data[i / 8] ^= (char)(1 << i % 8);
		len = used;
		CU_ASSERT_FALSE(
			peer_datagram_open(a, "to", data, &len, &stamp));
		data[i / 8] ^= (char)(1 << i % 8);
	}
	for (size_t i = 0; i < used; i++) {
		len = i;
		CU_ASSERT_FALSE(
			peer_datagram_open(a, "to", data, &len, &stamp));
	}
	len = used;
	CU_ASSERT_FALSE(peer_datagram_open(a, "tp", data, &len, &stamp));
	len = used;
	CU_ASSERT_FALSE(peer_datagram_open(b, "to", data, &len, &stamp));
	len = used;
	CU_ASSERT(peer_datagram_open(a, "to", data, &len, &stamp));
	CU_ASSERT_EQUAL(len, sizeof(PAYLOAD));
	peer_datagram_free(a);
	peer_datagram_free(b);
	peer_key_free(key);
	peer_key_free(other);
}

/* A recorded datagram must not be taken again; a reordered one must. */
static void test_datagram_replay(void)
{
	peer_key_t *key = key_of(OLD);
	peer_datagram_t *receiver = datagram_of(key);

	for (uint64_t stamp = 100; stamp < 200; stamp += 2) {
		CU_ASSERT(peer_datagram_is_new(receiver, "a", stamp));
		CU_ASSERT_FALSE(peer_datagram_is_new(receiver, "a", stamp));
	}
	CU_ASSERT(peer_datagram_is_new(receiver, "a", 191));
	CU_ASSERT_FALSE(peer_datagram_is_new(receiver, "a", 191));
	CU_ASSERT_FALSE(peer_datagram_is_new(receiver, "a", 100));
	CU_ASSERT_FALSE(peer_datagram_is_new(receiver, "a", 101));
	CU_ASSERT(peer_datagram_is_new(receiver, "b", 100));
	peer_datagram_free(receiver);
	peer_key_free(key);
}

/* A restarted process must not begin below its predecessor's stamps. */
static void test_datagram_stamps(void)
{
	char data[64];
	peer_key_t *key = key_of(OLD);
	uint64_t last = 0;

	for (int process = 0; process < 3; process++) {
		peer_datagram_t *sender = datagram_of(key);

		for (int i = 0; i < 900; i++) {
			size_t len = peer_datagram_seal(sender, "to", data, 0);
			uint64_t stamp = 0;

			CU_ASSERT(peer_datagram_open(sender, "to", data, &len,
						     &stamp));
			CU_ASSERT(stamp > last);
			last = stamp;
		}
		clock_manual_advance_ms(&clock_manual, 1);
		peer_datagram_free(sender);
	}
	peer_key_free(key);
}

static char *encode_call(uint32_t xid, size_t *len)
{
	const rpc_call_header_t header = { .xid = xid,
					   .program = 7,
					   .version = 1,
					   .procedure = 3,
					   .verifier_bytes =
						   RPC_AUTH_CALL_BYTES };
	struct evbuffer *buffer = evbuffer_new();
	uint32_t argument = 5;
	char *record = NULL;

	CU_ASSERT(rpc_call_append(buffer, &header, (xdrproc_t)xdr_u_int,
				  &argument));
	CU_ASSERT_EQUAL(rpc_record_take(buffer, &record, len), 1);
	evbuffer_free(buffer);
	return record;
}

static char *encode_reply(uint32_t xid, size_t *len)
{
	const rpc_reply_header_t header = { .xid = xid,
					    .verifier_bytes =
						    RPC_AUTH_REPLY_BYTES };
	struct evbuffer *buffer = evbuffer_new();
	uint32_t result = 6;
	char *record = NULL;

	CU_ASSERT(rpc_reply_append(buffer, &header, (xdrproc_t)xdr_u_int,
				   &result));
	CU_ASSERT_EQUAL(rpc_record_take(buffer, &record, len), 1);
	evbuffer_free(buffer);
	return record;
}

static gboolean call_verifies(const rpc_auth_t *server, const char *record,
			      size_t len)
{
	rpc_auth_t copy = *server;
	char *data = g_memdup2(record, len);
	uint8_t mac[PEER_KEY_MAC_BYTES];
	gboolean ok = rpc_auth_verify_call(&copy, data, len, mac);

	g_free(data);
	return ok;
}

static void open_connection(peer_key_t *key, rpc_auth_t *server,
			    rpc_auth_t *client)
{
	struct evbuffer *buffer = evbuffer_new();
	char *record = NULL;
	size_t len;

	*server = (rpc_auth_t){ .key = key, .server = "192.0.2.1:8082" };
	*client = *server;
	peer_key_nonce(client->client_nonce);
	rpc_auth_hello_append(server, buffer);
	CU_ASSERT_EQUAL(rpc_record_take(buffer, &record, &len), 1);
	CU_ASSERT(rpc_auth_hello_take(client, record, len));
	g_free(record);
	evbuffer_free(buffer);
}

/* A call with any changed bit, of another connection, for another server or
 * that comes twice must not run. */
static void test_call(void)
{
	peer_key_t *key = key_of(OLD);
	rpc_auth_t server;
	rpc_auth_t client;
	rpc_auth_t other;
	size_t len;
	char *record = encode_call(9, &len);
	uint8_t mac[PEER_KEY_MAC_BYTES];
	uint8_t seen[PEER_KEY_MAC_BYTES];

	open_connection(key, &server, &client);
	open_connection(key, &other, &client);
	open_connection(key, &server, &client);
	rpc_auth_sign_call(&client, record, len, mac);
	CU_ASSERT(call_verifies(&server, record, len));
	CU_ASSERT_FALSE(call_verifies(&other, record, len));
	for (size_t i = 0; i < len * 8; i++) {
		record[i / 8] ^= (char)(1 << i % 8);
		CU_ASSERT_FALSE(call_verifies(&server, record, len));
		record[i / 8] ^= (char)(1 << i % 8);
	}
	for (size_t i = 0; i < len; i++)
		CU_ASSERT_FALSE(call_verifies(&server, record, i));
	other = server;
	other.server = "192.0.2.2:8082";
	CU_ASSERT_FALSE(call_verifies(&other, record, len));
	CU_ASSERT(rpc_auth_verify_call(&server, record, len, seen));
	CU_ASSERT_EQUAL(memcmp(seen, mac, sizeof(mac)), 0);
	rpc_auth_sign_call(&client, record, len, mac);
	CU_ASSERT_FALSE(call_verifies(&server, record, len));
	g_free(record);
	peer_key_free(key);
}

static gboolean reply_verifies(const rpc_auth_t *client, const uint8_t *mac,
			       const char *record, size_t len)
{
	char *data = g_memdup2(record, len);
	gboolean ok = rpc_auth_verify_reply(client, mac, data, len);

	g_free(data);
	return ok;
}

/* A reply with any changed bit, or to another call, must not be believed. */
static void test_reply(void)
{
	uint8_t mac[PEER_KEY_MAC_BYTES] = { 1 };
	uint8_t other[PEER_KEY_MAC_BYTES] = { 2 };
	peer_key_t *key = key_of(OLD);
	rpc_auth_t auth = { .key = key };
	size_t len;
	char *record = encode_reply(9, &len);

	rpc_auth_sign_reply(&auth, mac, record, len);
	CU_ASSERT(reply_verifies(&auth, mac, record, len));
	CU_ASSERT_FALSE(reply_verifies(&auth, other, record, len));
	for (size_t i = 0; i < len * 8; i++) {
		record[i / 8] ^= (char)(1 << i % 8);
		CU_ASSERT_FALSE(reply_verifies(&auth, mac, record, len));
		record[i / 8] ^= (char)(1 << i % 8);
	}
	for (size_t i = 0; i < len; i++)
		CU_ASSERT_FALSE(reply_verifies(&auth, mac, record, i));
	g_free(record);
	peer_key_free(key);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "key files", test_files },
		{ "rotation", test_rotation },
		{ "datagrams", test_datagram },
		{ "replayed datagrams", test_datagram_replay },
		{ "stamps", test_datagram_stamps },
		{ "calls", test_call },
		{ "replies", test_reply },
		{ NULL, NULL },
	};

	clock_manual_init(&clock_manual, 1700000000000);
	return unit_run("peer_key", tests);
}
