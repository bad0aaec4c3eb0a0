#ifndef WASABILINK_CONFIG_DOCUMENT_PACK_H
#define WASABILINK_CONFIG_DOCUMENT_PACK_H

#include <glib.h>

/*
 * document_pack - the stored form of a document.
 *
 * A text that fits into an object is stored as it is, a larger one as gzip
 * (RFC 1952), so that gunzip(1) reads it. Digests, differences and the fetch
 * from peers are of the text.
 */
#define DOCUMENT_MAX_BYTES (3 * 1024 * 1024)

/* Errors: WL_ERROR_TOO_LARGE when the text or its stored form is too large. */
GBytes *document_pack(GBytes *text, GError **error);

/* Errors: WL_ERROR_PROTOCOL for damaged gzip, WL_ERROR_TOO_LARGE for a text
 * above DOCUMENT_MAX_BYTES. */
GBytes *document_unpack(GBytes *stored, GError **error);

#endif
