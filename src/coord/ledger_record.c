#include "coord/ledger_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define RECORD_OVERHEAD_BYTES \
	(LEDGER_KEY_BYTES + 4 + 8 + 8 + 4 + 4 + LEDGER_TOKENS_BYTES)

void *ledger_record_copy_bytes(const void *data, size_t len)
{
	void *copy = malloc(len ? len : 1);

	g_assert(copy);
	if (len)
		memcpy(copy, data, len);
	return copy;
}

ledger_record *ledger_record_copy(const ledger_record *record)
{
	ledger_record *copy = ledger_record_copy_bytes(record, sizeof(*record));
	const char *tag = record->owner_tag ? record->owner_tag : "";

	copy->owner_tag = ledger_record_copy_bytes(tag, strlen(tag) + 1);
	copy->data.data_val = ledger_record_copy_bytes(record->data.data_val,
						       record->data.data_len);
	return copy;
}

void ledger_record_free(ledger_record *record)
{
	if (!record)
		return;
	free(record->owner_tag);
	free(record->data.data_val);
	free(record);
}

size_t ledger_record_bytes(const ledger_record *record)
{
	return RECORD_OVERHEAD_BYTES + (strlen(record->owner_tag) + 3) / 4 * 4 +
	       ((size_t)record->data.data_len + 3) / 4 * 4;
}

bool ledger_record_expired(const ledger_record *record, uint64_t now_ms)
{
	return record->expire_ms && record->expire_ms <= now_ms;
}

uint32_t ledger_record_fingerprint(const void *key)
{
	const uint8_t *b = key;

	return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
	       (uint32_t)b[2] << 8 | b[3];
}

int ledger_record_compare(const void *a, const void *b)
{
	return memcmp(((const ledger_record *)a)->key,
		      ((const ledger_record *)b)->key, LEDGER_KEY_BYTES);
}

gboolean ledger_record_decode(xdrproc_t proc, void *target, const void *data,
			      size_t len, const char *what, GError **error)
{
	XDR xdrs;
	gboolean ok;

	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	ok = proc(&xdrs, target);
	xdr_destroy(&xdrs);
	if (!ok)
		g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
			    "cannot decode %s: malformed data", what);
	return ok;
}

GBytes *ledger_record_encode(xdrproc_t proc, void *value)
{
	size_t len = xdr_sizeof(proc, value);
	char *data = g_malloc(len ? len : 1);
	XDR xdrs;

	xdrmem_create(&xdrs, data, (u_int)len, XDR_ENCODE);
	g_assert(proc(&xdrs, value));
	xdr_destroy(&xdrs);
	return g_bytes_new_take(data, len);
}
