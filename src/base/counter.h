#ifndef WASABILINK_BASE_COUNTER_H
#define WASABILINK_BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

/*
 * counter - a process's metrics.
 *
 * A set holds monotonic counters and gauges by name, with an optional label
 * pair list such as `partner="guild"`. counter_get() is a lookup; hot paths
 * keep the returned pointer, which stays valid as long as the set.
 */
typedef struct counter_set counter_set_t;

typedef enum counter_kind { COUNTER_MONOTONIC, COUNTER_GAUGE } counter_kind_t;

counter_set_t *counter_set_new(void);
void counter_set_free(counter_set_t *set);

/*
 * Finds or creates a counter. labels may be NULL. Creating the same name with
 * another kind is a programming error.
 */
int64_t *counter_get(counter_set_t *set, counter_kind_t kind, const char *name,
		     const char *labels);

/* Writes the set in the Prometheus text exposition format, each name with the
 * prefix "wasabilink_". */
void counter_set_write(const counter_set_t *set, GString *out);

#endif
