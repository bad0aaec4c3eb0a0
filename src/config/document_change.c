#include "config/document_change.h"

#include <string.h>

#include "base/error.h"
#include "config/document_diff.h"
#include "config/document_pack.h"
#include "object/object_store.h"
#include "rpc/config_xdr.h"

G_STATIC_ASSERT(DOCUMENT_DIGEST_BYTES == CONFIG_DIGEST_BYTES);

void document_version_digest(document_version_t *version)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = sizeof(version->digest);

	g_checksum_update(checksum, g_bytes_get_data(version->data, NULL),
			  (gssize)g_bytes_get_size(version->data));
	g_checksum_get_digest(checksum, version->digest, &len);
	g_checksum_free(checksum);
}

char *document_change_key(const char *environment)
{
	return g_strconcat("config-change/", environment, NULL);
}

static GBytes *encode(config_change *change, size_t max_bytes)
{
	size_t len = xdr_sizeof((xdrproc_t)xdr_config_change, change);
	char *buffer;
	XDR xdrs;

	if (len > max_bytes)
		return NULL;
	buffer = g_malloc(len);
	xdrmem_create(&xdrs, buffer, (u_int)len, XDR_ENCODE);
	if (!xdr_config_change(&xdrs, change)) {
		g_free(buffer);
		return NULL;
	}
	return g_bytes_new_take(buffer, len);
}

GBytes *document_change_encode(const document_version_t *base,
			       const document_version_t *to)
{
	gsize base_len, to_len;
	const char *base_text = g_bytes_get_data(base->data, &base_len);
	const char *to_text = g_bytes_get_data(to->data, &to_len);
	GArray *edits =
		document_diff_edits(base_text, base_len, to_text, to_len);
	config_edit *wire = g_new0(config_edit, edits->len);
	config_change change = { .base_version = base->version };
	GBytes *object;

	for (guint i = 0; i < edits->len; i++) {
		const document_edit_t *edit =
			&g_array_index(edits, document_edit_t, i);

		wire[i].offset = edit->offset;
		wire[i].length = edit->length;
		wire[i].insert.insert_val = (char *)edit->insert;
		wire[i].insert.insert_len = edit->insert_len;
	}
	memcpy(change.base_digest, base->digest, DOCUMENT_DIGEST_BYTES);
	change.to.document_version = to->version;
	memcpy(change.to.digest, to->digest, DOCUMENT_DIGEST_BYTES);
	change.to.edits.edits_val = wire;
	change.to.edits.edits_len = edits->len;
	object = encode(&change, MIN(to_len / 2, OBJECT_MAX_BYTES));
	g_free(wire);
	g_array_free(edits, TRUE);
	return object;
}

static GBytes *apply_edits(const config_change *change, GBytes *base,
			   GError **error)
{
	u_int count = change->to.edits.edits_len;
	document_edit_t *edits = g_new0(document_edit_t, count);
	gsize len;
	const char *text = g_bytes_get_data(base, &len);
	GBytes *data;

	for (u_int i = 0; i < count; i++) {
		const config_edit *wire = &change->to.edits.edits_val[i];

		edits[i].offset = wire->offset;
		edits[i].length = wire->length;
		edits[i].insert = wire->insert.insert_val;
		edits[i].insert_len = wire->insert.insert_len;
	}
	data = document_diff_apply(text, len, edits, count, DOCUMENT_MAX_BYTES,
				   error);
	g_free(edits);
	return data;
}

static GBytes *apply(const config_change *change,
		     const document_version_t *base, uint64_t wanted_version,
		     GError **error)
{
	document_version_t result = { 0 };

	if (change->base_version != base->version ||
	    change->to.document_version != wanted_version ||
	    memcmp(change->base_digest, base->digest, DOCUMENT_DIGEST_BYTES) !=
		    0) {
		g_set_error(error, WL_ERROR, WL_ERROR_CONFLICT,
			    "the change belongs to other versions");
		return NULL;
	}
	result.data = apply_edits(change, base->data, error);
	if (!result.data)
		return NULL;
	document_version_digest(&result);
	if (memcmp(result.digest, change->to.digest, DOCUMENT_DIGEST_BYTES) ==
	    0)
		return result.data;
	g_bytes_unref(result.data);
	g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
		    "the change does not lead to its digest");
	return NULL;
}

GBytes *document_change_apply(const void *object, size_t len,
			      const document_version_t *base,
			      uint64_t wanted_version, GError **error)
{
	config_change change = { 0 };
	GBytes *data = NULL;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)object, (u_int)len, XDR_DECODE);
	if (xdr_config_change(&xdrs, &change))
		data = apply(&change, base, wanted_version, error);
	else
		g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
			    "the change cannot be decoded");
	xdr_free((xdrproc_t)xdr_config_change, (char *)&change);
	return data;
}
