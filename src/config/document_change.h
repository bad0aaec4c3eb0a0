#ifndef WASABILINK_CONFIG_DOCUMENT_CHANGE_H
#define WASABILINK_CONFIG_DOCUMENT_CHANGE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * document_change - the last change of a document as an object of its own.
 *
 * A watcher that has the version before it reads some hundred bytes in place
 * of a document of up to 1 MB. The object only saves reading: it is written
 * after the document, may be missing or belong to another change, and a
 * reader then reads the whole document.
 */
#define DOCUMENT_DIGEST_BYTES 32

typedef struct document_version {
	uint64_t version;
	uint8_t digest[DOCUMENT_DIGEST_BYTES];
	GBytes *data; /* borrowed */
} document_version_t;

/* Fills digest from data. */
void document_version_digest(document_version_t *version);

char *document_change_key(const char *environment);

/* NULL when the change is no smaller than half the document. */
GBytes *document_change_encode(const document_version_t *base,
			       const document_version_t *to);

/*
 * Turns base into wanted_version. Errors: WL_ERROR_PROTOCOL when the object
 * cannot be decoded or does not lead to its own digest, WL_ERROR_CONFLICT when
 * it belongs to other versions.
 */
GBytes *document_change_apply(const void *object, size_t len,
			      const document_version_t *base,
			      uint64_t wanted_version, GError **error);

#endif
