#include "rpc/peer_key.h"

#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"

#define MAX_KEYS 2
#define MAX_FILE_BYTES (4 * PEER_KEY_MAX_BYTES)
#define LOG_INTERVAL_MS 1000

struct peer_key {
	EVP_MAC *hmac;
	char *text; /* of the file */
	GBytes *keys[MAX_KEYS];
	size_t count;
	int64_t *failures;
	int64_t unlogged;
	int64_t logged_ms;
};

static void clear_keys(peer_key_t *key)
{
	for (size_t i = 0; i < key->count; i++)
		g_bytes_unref(key->keys[i]);
	key->count = 0;
	if (key->text)
		OPENSSL_cleanse(key->text, strlen(key->text));
	g_clear_pointer(&key->text, g_free);
}

static gboolean add_key(peer_key_t *key, const char *line, GError **error)
{
	size_t len = strlen(line);

	if (len < PEER_KEY_MIN_BYTES || len > PEER_KEY_MAX_BYTES)
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "key %zu has %zu bytes instead of %d to %d",
			    key->count + 1, len, PEER_KEY_MIN_BYTES,
			    PEER_KEY_MAX_BYTES);
	else if (key->count == MAX_KEYS)
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "there are more than %d keys", MAX_KEYS);
	else
		key->keys[key->count++] = g_bytes_new(line, len);
	return !*error;
}

static gboolean parse(peer_key_t *key, const char *text, size_t len,
		      GError **error)
{
	GError *failure = NULL;
	char **lines;

	key->text = g_strndup(text, len);
	if (strlen(key->text) != len)
		failure = g_error_new_literal(WL_ERROR, WL_ERROR_INVALID,
					      "the keys are not text");
	lines = g_strsplit_set(key->text, "\r\n", -1);
	for (char **line = lines; *line && !failure; line++)
		if (**line)
			add_key(key, *line, &failure);
	if (!failure && key->count == 0)
		failure = g_error_new_literal(WL_ERROR, WL_ERROR_INVALID,
					      "there is no key");
	g_strfreev(lines);
	if (failure)
		g_propagate_error(error, failure);
	return !failure;
}

peer_key_t *peer_key_new(const char *text, size_t len, GError **error)
{
	peer_key_t *key = g_new0(peer_key_t, 1);

	key->hmac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	g_assert(key->hmac);
	if (parse(key, text, len, error))
		return key;
	peer_key_free(key);
	return NULL;
}

static gboolean read_file(const char *path, char **text, gsize *len,
			  GError **error)
{
	GError *failure = NULL;

	if (!g_file_get_contents(path, text, len, &failure)) {
		g_set_error_literal(error, WL_ERROR, WL_ERROR_INVALID,
				    failure->message);
		g_error_free(failure);
		return FALSE;
	}
	if (*len <= MAX_FILE_BYTES)
		return TRUE;
	g_set_error(error, WL_ERROR, WL_ERROR_INVALID, "%s is too large", path);
	g_free(*text);
	return FALSE;
}

peer_key_t *peer_key_load(const char *path, GError **error)
{
	peer_key_t *key;
	char *text;
	gsize len;

	if (!read_file(path, &text, &len, error))
		return NULL;
	key = peer_key_new(text, len, error);
	g_free(text);
	return key;
}

void peer_key_free(peer_key_t *key)
{
	if (!key)
		return;
	clear_keys(key);
	EVP_MAC_free(key->hmac);
	g_free(key);
}

gboolean peer_key_reload(peer_key_t *key, const char *path, GError **error)
{
	peer_key_t *loaded = peer_key_load(path, error);
	gboolean changed = loaded && strcmp(loaded->text, key->text) != 0;

	if (changed) {
		clear_keys(key);
		key->text = g_steal_pointer(&loaded->text);
		key->count = loaded->count;
		memcpy(key->keys, loaded->keys, sizeof(key->keys));
		loaded->count = 0;
	}
	peer_key_free(loaded);
	return changed;
}

static void update_part(EVP_MAC_CTX *context, const void *data, size_t len)
{
	uint64_t size = GUINT64_TO_BE((uint64_t)len);

	g_assert(EVP_MAC_update(context, (const void *)&size, sizeof(size)) &&
		 EVP_MAC_update(context, data, len));
}

static void compute(const peer_key_t *key, size_t index, const char *label,
		    const peer_key_part_t *parts, size_t count, uint8_t *mac)
{
	char digest[] = "SHA256";
	const OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string("digest", digest, 0),
		OSSL_PARAM_construct_end(),
	};
	EVP_MAC_CTX *context = EVP_MAC_CTX_new(key->hmac);
	size_t secret_len;
	const void *secret = g_bytes_get_data(key->keys[index], &secret_len);
	size_t len;

	g_assert(EVP_MAC_init(context, secret, secret_len, params));
	update_part(context, label, strlen(label));
	for (size_t i = 0; i < count; i++)
		update_part(context, parts[i].data, parts[i].len);
	g_assert(EVP_MAC_final(context, mac, &len, PEER_KEY_MAC_BYTES));
	EVP_MAC_CTX_free(context);
}

void peer_key_sign(const peer_key_t *key, const char *label,
		   const peer_key_part_t *parts, size_t count, uint8_t *mac)
{
	compute(key, 0, label, parts, count, mac);
}

gboolean peer_key_verify(const peer_key_t *key, const char *label,
			 const peer_key_part_t *parts, size_t count,
			 const uint8_t *mac)
{
	for (size_t i = 0; i < key->count; i++) {
		uint8_t expected[PEER_KEY_MAC_BYTES];

		compute(key, i, label, parts, count, expected);
		if (CRYPTO_memcmp(expected, mac, sizeof(expected)) == 0)
			return TRUE;
	}
	return FALSE;
}

void peer_key_count_in(peer_key_t *key, int64_t *failures)
{
	key->failures = failures;
}

void peer_key_refused(peer_key_t *key, const char *kind, const char *from)
{
	int64_t now_ms = clock_now_ms(clock_system());

	if (key->failures)
		++*key->failures;
	key->unlogged++;
	if (key->logged_ms && now_ms < key->logged_ms + LOG_INTERVAL_MS)
		return;
	log_warn("peer_not_authentic", "kind=%s from=%s count=%" PRId64, kind,
		 from, key->unlogged);
	key->logged_ms = now_ms;
	key->unlogged = 0;
}

void peer_key_nonce(uint8_t *nonce)
{
	g_assert(RAND_bytes(nonce, PEER_KEY_NONCE_BYTES) == 1);
}
