#include "base/counter.h"

#include <inttypes.h>
#include <string.h>

/* Of every name in the exposition. */
#define PREFIX "wasabilink_"

typedef struct counter {
	int64_t value; /* first member: counter_get() returns its address */
	counter_kind_t kind;
	char *name;
	char *labels;
} counter_t;

struct counter_set {
	GHashTable *by_key;
	GPtrArray *sorted;
};

static void counter_free(void *data)
{
	counter_t *counter = data;

	g_free(counter->name);
	g_free(counter->labels);
	g_free(counter);
}

static int compare_counters(const void *a, const void *b)
{
	const counter_t *left = *(counter_t *const *)a;
	const counter_t *right = *(counter_t *const *)b;
	int order = strcmp(left->name, right->name);

	return order ? order : strcmp(left->labels, right->labels);
}

counter_set_t *counter_set_new(void)
{
	counter_set_t *set = g_new0(counter_set_t, 1);

	set->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    counter_free);
	set->sorted = g_ptr_array_new();
	return set;
}

void counter_set_free(counter_set_t *set)
{
	if (!set)
		return;
	g_ptr_array_free(set->sorted, TRUE);
	g_hash_table_destroy(set->by_key);
	g_free(set);
}

int64_t *counter_get(counter_set_t *set, counter_kind_t kind, const char *name,
		     const char *labels)
{
	char *key = g_strdup_printf("%s{%s}", name, labels ? labels : "");
	counter_t *counter = g_hash_table_lookup(set->by_key, key);

	if (counter) {
		g_free(key);
		g_assert(counter->kind == kind);
		return &counter->value;
	}
	counter = g_new0(counter_t, 1);
	counter->kind = kind;
	counter->name = g_strdup(name);
	counter->labels = g_strdup(labels ? labels : "");
	g_hash_table_insert(set->by_key, key, counter);
	g_ptr_array_add(set->sorted, counter);
	g_ptr_array_sort(set->sorted, compare_counters);
	return &counter->value;
}

void counter_set_write(const counter_set_t *set, GString *out)
{
	const char *previous = "";

	for (guint i = 0; i < set->sorted->len; i++) {
		const counter_t *counter = set->sorted->pdata[i];

		if (strcmp(previous, counter->name) != 0)
			g_string_append_printf(
				out, "# TYPE " PREFIX "%s %s\n", counter->name,
				counter->kind == COUNTER_GAUGE ? "gauge" :
								 "counter");
		previous = counter->name;
		if (counter->labels[0])
			g_string_append_printf(
				out, PREFIX "%s{%s} %" PRId64 "\n",
				counter->name, counter->labels, counter->value);
		else
			g_string_append_printf(out, PREFIX "%s %" PRId64 "\n",
					       counter->name, counter->value);
	}
}
