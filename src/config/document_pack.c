#include "config/document_pack.h"

#include <zlib.h>

#include "base/error.h"
#include "object/object_store.h"

#define GZIP_WINDOW_BITS (15 + 16)
#define MEMORY_LEVEL 8
#define CHUNK_BYTES 65536

static GBytes *too_large(gsize bytes, gsize limit, GError **error)
{
	g_set_error(error, WL_ERROR, WL_ERROR_TOO_LARGE,
		    "%zu bytes are above the limit of %zu", bytes, limit);
	return NULL;
}

GBytes *document_pack(GBytes *text, GError **error)
{
	gsize len, bound;
	const void *data = g_bytes_get_data(text, &len);
	z_stream stream = { 0 };
	guint8 *out;

	if (len <= OBJECT_MAX_BYTES)
		return g_bytes_ref(text);
	if (len > DOCUMENT_MAX_BYTES)
		return too_large(len, DOCUMENT_MAX_BYTES, error);
	if (deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED,
			 GZIP_WINDOW_BITS, MEMORY_LEVEL,
			 Z_DEFAULT_STRATEGY) != Z_OK)
		g_error("zlib cannot start");
	bound = deflateBound(&stream, len);
	out = g_malloc(bound);
	stream.next_in = (Bytef *)data;
	stream.avail_in = (uInt)len;
	stream.next_out = out;
	stream.avail_out = (uInt)bound;
	deflate(&stream, Z_FINISH);
	bound -= stream.avail_out;
	deflateEnd(&stream);
	if (bound <= OBJECT_MAX_BYTES)
		return g_bytes_new_take(out, bound);
	g_free(out);
	return too_large(bound, OBJECT_MAX_BYTES, error);
}

/* A JSON text cannot begin with these bytes. */
static gboolean is_gzip(const guint8 *data, gsize len)
{
	return len >= 2 && data[0] == 0x1f && data[1] == 0x8b;
}

/* Returns zlib's code: Z_STREAM_END when the whole text was read. */
static int inflate_all(z_stream *stream, GByteArray *text)
{
	guint8 chunk[CHUNK_BYTES];
	int code;

	do {
		stream->next_out = chunk;
		stream->avail_out = sizeof(chunk);
		code = inflate(stream, Z_NO_FLUSH);
		g_byte_array_append(text, chunk,
				    (guint)sizeof(chunk) - stream->avail_out);
	} while (code == Z_OK && text->len <= DOCUMENT_MAX_BYTES);
	return code;
}

GBytes *document_unpack(GBytes *stored, GError **error)
{
	gsize len;
	const guint8 *data = g_bytes_get_data(stored, &len);
	z_stream stream = { .next_in = (Bytef *)data, .avail_in = (uInt)len };
	GByteArray *text;
	int code;

	if (!is_gzip(data, len))
		return g_bytes_ref(stored);
	text = g_byte_array_new();
	if (inflateInit2(&stream, GZIP_WINDOW_BITS) != Z_OK)
		g_error("zlib cannot start");
	code = inflate_all(&stream, text);
	inflateEnd(&stream);
	if (code == Z_STREAM_END && text->len <= DOCUMENT_MAX_BYTES)
		return g_byte_array_free_to_bytes(text);
	if (text->len > DOCUMENT_MAX_BYTES)
		too_large(text->len, DOCUMENT_MAX_BYTES, error);
	else
		g_set_error(error, WL_ERROR, WL_ERROR_PROTOCOL,
			    "the compressed document is damaged");
	g_byte_array_unref(text);
	return NULL;
}
