#include "backend/sound_requests.h"

#include <glib.h>

#define MAX_AGE_US (SOUND_REQUESTS_MS * 1000LL)

typedef struct answer {
	uint64_t key;
	int64_t at_us;
} answer_t;

/* Two generations: when the newer one is full or old, it replaces the older. */
struct sound_requests {
	GHashTable *newer; /* key -> answer_t, which holds the key */
	GHashTable *older;
	int64_t begun_us; /* first answer of the newer ones */
};

static GHashTable *generation_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

sound_requests_t *sound_requests_new(void)
{
	sound_requests_t *requests = g_new0(sound_requests_t, 1);

	requests->newer = generation_new();
	requests->older = generation_new();
	return requests;
}

void sound_requests_free(sound_requests_t *requests)
{
	g_hash_table_destroy(requests->newer);
	g_hash_table_destroy(requests->older);
	g_free(requests);
}

static void replace_old(sound_requests_t *requests, int64_t now_us)
{
	if (g_hash_table_size(requests->newer) < SOUND_REQUESTS_MIN &&
	    now_us - requests->begun_us < MAX_AGE_US)
		return;
	g_hash_table_destroy(requests->older);
	requests->older = requests->newer;
	requests->newer = generation_new();
	requests->begun_us = now_us;
}

void sound_requests_note(sound_requests_t *requests, uint64_t key,
			 int64_t now_us)
{
	answer_t *answer = g_hash_table_lookup(requests->newer, &key);

	if (answer) {
		answer->at_us = now_us;
		return;
	}
	replace_old(requests, now_us);
	answer = g_new(answer_t, 1);
	*answer = (answer_t){ key, now_us };
	g_hash_table_insert(requests->newer, &answer->key, answer);
}

static bool is_in(GHashTable *generation, uint64_t key, int64_t at_us)
{
	const answer_t *answer = g_hash_table_lookup(generation, &key);

	return answer && at_us - answer->at_us <= MAX_AGE_US;
}

bool sound_requests_has(const sound_requests_t *requests, uint64_t key,
			int64_t at_us)
{
	return is_in(requests->newer, key, at_us) ||
	       is_in(requests->older, key, at_us);
}

uint32_t sound_requests_size(const sound_requests_t *requests)
{
	return g_hash_table_size(requests->newer) +
	       g_hash_table_size(requests->older);
}
