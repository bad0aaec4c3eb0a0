#include "backend/request_digest.h"

#include <glib.h>
#include <openssl/evp.h>
#include <string.h>

/* Hashes a text with its end, so that texts cannot run into each other. */
static void add_text(EVP_MD_CTX *hash, const char *text)
{
	if (!text)
		text = "";
	g_assert(EVP_DigestUpdate(hash, text, strlen(text) + 1));
}

uint64_t request_digest(const request_content_t *content)
{
	uint8_t bytes[EVP_MAX_MD_SIZE];
	EVP_MD_CTX *hash = EVP_MD_CTX_new();
	uint64_t digest;

	g_assert(hash && EVP_DigestInit_ex(hash, EVP_sha256(), NULL));
	add_text(hash, content->method);
	add_text(hash, content->host);
	add_text(hash, content->target);
	add_text(hash, content->caller);
	g_assert(EVP_DigestUpdate(hash, content->body, content->body_len) &&
		 EVP_DigestFinal_ex(hash, bytes, NULL));
	EVP_MD_CTX_free(hash);
	memcpy(&digest, bytes, sizeof(digest));
	/* Nodes send it to each other as a number. */
	digest = GUINT64_FROM_BE(digest);
	return digest ? digest : 1;
}
