#ifndef WASABILINK_CONFIG_DOCUMENT_DIFF_H
#define WASABILINK_CONFIG_DOCUMENT_DIFF_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * document_diff - differences of two documents, for people and for transfer.
 *
 * document_diff_lines() compares values. document_diff_edits() compares bytes,
 * because a document is identified by the digest of its bytes, which values
 * alone cannot restore.
 */

/* Copies length bytes at offset of the old text, then appends insert. */
typedef struct document_edit {
	uint32_t offset;
	uint32_t length;
	const char *insert; /* within the new text */
	uint32_t insert_len;
} document_edit_t;

/*
 * Lines "- path = value" and "+ path = value", sorted by path; empty when the
 * values are equal. Elements of arrays are named by their member "name" or
 * "path" and else by index. Free with g_ptr_array_free(lines, TRUE). Errors:
 * WL_ERROR_INVALID when a text is not JSON.
 */
GPtrArray *document_diff_lines(const char *old_text, size_t old_len,
			       const char *new_text, size_t new_len,
			       GError **error);

/* document_edit_t in order; linear in the lengths. */
GArray *document_diff_edits(const char *old_text, size_t old_len,
			    const char *new_text, size_t new_len);

/*
 * Applies edits to the old text. NULL with WL_ERROR_INVALID for a range
 * outside the old text or a result above max_bytes.
 */
GBytes *document_diff_apply(const char *old_text, size_t old_len,
			    const document_edit_t *edits, guint count,
			    size_t max_bytes, GError **error);

#endif
