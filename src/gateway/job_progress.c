#include "gateway/job_progress.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* JSON bytes of an entry apart from its text, at most. */
#define ENTRY_OVERHEAD_BYTES 128
#define VERSION_TEXT_BYTES 17

void job_progress_free(void *data)
{
	job_progress_t *progress = data;

	g_free(progress->text);
	g_free(progress);
}

char *job_progress_encode(const GPtrArray *entries, size_t max_bytes)
{
	json_t *array = json_array();
	size_t bytes = 0;
	char *text;
	char *copy;

	for (guint i = 0; i < entries->len; i++) {
		const job_progress_t *entry = entries->pdata[i];
		char version[VERSION_TEXT_BYTES];

		/* JSON has no integers of 64 bits without a sign. */
		snprintf(version, sizeof(version), "%" PRIx64, entry->version);
		bytes += strlen(entry->text) + ENTRY_OVERHEAD_BYTES;
		if (bytes > max_bytes)
			break;
		json_array_append_new(
			array,
			json_pack("{s:i, s:I, s:s, s:i, s:s}", "item",
				  (int)entry->item, "last_event",
				  (json_int_t)entry->last_event, "version",
				  version, "failures", (int)entry->failures,
				  "text", entry->text));
	}
	text = json_dumps(array, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(array);
	return copy;
}

static job_progress_t *decode_entry(const json_t *value)
{
	const json_t *item = json_object_get(value, "item");
	const json_t *last_event = json_object_get(value, "last_event");
	const char *text = json_string_value(json_object_get(value, "text"));
	const char *version =
		json_string_value(json_object_get(value, "version"));
	job_progress_t *entry;

	if (!json_is_integer(item) || !json_is_integer(last_event) || !text)
		return NULL;
	entry = g_new0(job_progress_t, 1);
	entry->item = (uint32_t)json_integer_value(item);
	entry->last_event = json_integer_value(last_event);
	/* Absent in objects of earlier versions, as are the failures. */
	if (version)
		entry->version = g_ascii_strtoull(version, NULL, 16);
	entry->failures = (uint32_t)json_integer_value(
		json_object_get(value, "failures"));
	entry->text = g_strdup(text);
	return entry;
}

GPtrArray *job_progress_decode(const char *text, size_t len)
{
	json_t *root = text ? json_loadb(text, len, 0, NULL) : NULL;
	GPtrArray *entries = NULL;
	size_t index;
	json_t *value;

	if (json_is_array(root))
		entries = g_ptr_array_new_with_free_func(job_progress_free);
	json_array_foreach(root, index, value) {
		job_progress_t *entry = decode_entry(value);

		if (!entry) {
			g_ptr_array_unref(entries);
			entries = NULL;
			break;
		}
		g_ptr_array_add(entries, entry);
	}
	json_decref(root);
	return entries;
}
