#ifndef WASABILINK_COORD_LEDGER_RECORD_H
#define WASABILINK_COORD_LEDGER_RECORD_H

#include "coord/ledger_state.h"

/*
 * ledger_record - records of a ledger and the XDR coding of its objects
 *
 * Decoding sets WL_ERROR_PROTOCOL for invalid data. The functions that callers
 * of the ledger use are declared in ledger.h.
 */

/* The XDR routines release memory by free(), so copies use malloc(). */
void *ledger_record_copy_bytes(const void *data, size_t len);
bool ledger_record_expired(const ledger_record *record, uint64_t now_ms);
uint32_t ledger_record_fingerprint(const void *key);
int ledger_record_compare(const void *a, const void *b);
gboolean ledger_record_decode(xdrproc_t proc, void *target, const void *data,
			      size_t len, const char *what, GError **error);
GBytes *ledger_record_encode(xdrproc_t proc, void *value);

#endif
