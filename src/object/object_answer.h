#ifndef WASABILINK_PLATFORM_OBJECT_ANSWER_H
#define WASABILINK_PLATFORM_OBJECT_ANSWER_H

#include <glib.h>
#include <stddef.h>

#include "http/http_client.h"
#include "object/object_store.h"

/*
 * object_answer - bodies of the platform's answers, read from JSON.
 *
 * Errors: WL_ERROR_PROTOCOL for a body that is no JSON object. Members that are
 * missing or of another type read as empty.
 */

/* NULL for success; WL_ERROR_TIMEOUT and WL_ERROR_TRUNCATED leave open whether
 * the call took effect. */
GError *object_answer_error(const http_response_t *answer);

/* entries is to be freed by object_entries_free(). */
gboolean object_answer_listing(const char *body, size_t len,
			       object_listing_t *listing, GError **error);
void object_entries_free(GArray *entries);

/* An array of platform_vm_t to be freed by object_vms_free(), or NULL. */
GArray *object_answer_vms(const char *body, size_t len, GError **error);
void object_vms_free(GArray *vms);

#endif
