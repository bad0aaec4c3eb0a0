#include "emulator/standin_fault.h"

#include "base/clock.h"
#include "base/error.h"

void standin_fault_init(standin_fault_t *fault, uint32_t seed,
			double writes_per_s, double reads_per_s)
{
	*fault = (standin_fault_t){ 0 };
	fault->random = g_rand_new_with_seed(seed);
	fault->writes.per_s = fault->writes.tokens = writes_per_s;
	fault->reads.per_s = fault->reads.tokens = reads_per_s;
	fault->blocked_ports = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	fault->blocked_writers = g_ptr_array_new_with_free_func(g_free);
}

void standin_fault_clear(standin_fault_t *fault)
{
	g_rand_free(fault->random);
	g_array_free(fault->blocked_ports, TRUE);
	g_ptr_array_free(fault->blocked_writers, TRUE);
}

static gboolean check(const json_t *root, GError **error)
{
	static const char *const numbers[] = {
		"outage_ms",	  "delay_ms",	  "slow_answers",
		"slow_answer_ms", "lose_answers", "stale_watches",
		"writes_per_s",	  "reads_per_s",  "list_lag_ms",
	};
	const json_t *block = json_object_get(root, "block");

	if (!json_is_object(root)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "not a JSON object");
		return FALSE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		const json_t *value = json_object_get(root, numbers[i]);

		if (value && !json_is_number(value)) {
			g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
				    "%s is not a number", numbers[i]);
			return FALSE;
		}
	}
	if (block && !json_is_array(block)) {
		g_set_error(error, WL_ERROR, WL_ERROR_INVALID,
			    "block is not a list");
		return FALSE;
	}
	return TRUE;
}

static void set_double(const json_t *root, const char *name, double *out)
{
	const json_t *value = json_object_get(root, name);

	if (value)
		*out = json_number_value(value);
}

static void set_ms(const json_t *root, const char *name, int64_t *out)
{
	const json_t *value = json_object_get(root, name);

	if (value)
		*out = (int64_t)json_number_value(value);
}

static void set_block(standin_fault_t *fault, const json_t *block)
{
	size_t i;
	const json_t *item;

	if (!block)
		return;
	g_array_set_size(fault->blocked_ports, 0);
	g_ptr_array_set_size(fault->blocked_writers, 0);
	json_array_foreach(block, i, item) {
		uint16_t port = (uint16_t)json_integer_value(item);

		if (json_is_integer(item))
			g_array_append_val(fault->blocked_ports, port);
		else if (json_is_string(item))
			g_ptr_array_add(fault->blocked_writers,
					g_strdup(json_string_value(item)));
	}
}

gboolean standin_fault_set(standin_fault_t *fault, const json_t *root,
			   GError **error)
{
	int64_t outage_ms = -1;

	if (!check(root, error))
		return FALSE;
	set_ms(root, "outage_ms", &outage_ms);
	if (outage_ms >= 0)
		fault->outage_until_ms =
			clock_now_ms(clock_system()) + outage_ms;
	set_ms(root, "delay_ms", &fault->delay_ms);
	set_ms(root, "slow_answer_ms", &fault->slow_answer_ms);
	set_ms(root, "list_lag_ms", &fault->list_lag_ms);
	set_double(root, "slow_answers", &fault->slow_answers);
	set_double(root, "lose_answers", &fault->lose_answers);
	set_double(root, "stale_watches", &fault->stale_watches);
	set_double(root, "writes_per_s", &fault->writes.per_s);
	set_double(root, "reads_per_s", &fault->reads.per_s);
	set_block(fault, json_object_get(root, "block"));
	return TRUE;
}

bool standin_fault_outage(const standin_fault_t *fault)
{
	return clock_now_ms(clock_system()) < fault->outage_until_ms;
}

bool standin_fault_blocked(const standin_fault_t *fault, uint16_t port,
			   const char *writer)
{
	for (guint i = 0; i < fault->blocked_ports->len; i++)
		if (g_array_index(fault->blocked_ports, uint16_t, i) == port)
			return true;
	for (guint i = 0; writer && i < fault->blocked_writers->len; i++)
		if (g_str_has_prefix(writer, fault->blocked_writers->pdata[i]))
			return true;
	return false;
}

int64_t standin_fault_delay_ms(standin_fault_t *fault)
{
	int64_t delay_ms = fault->delay_ms;

	if (standin_fault_draw(fault, fault->slow_answers))
		delay_ms += fault->slow_answer_ms;
	return delay_ms;
}

bool standin_fault_draw(standin_fault_t *fault, double rate)
{
	return rate > 0 && g_rand_double(fault->random) < rate;
}

bool standin_rate_take(standin_rate_t *rate)
{
	int64_t now = clock_now_us(clock_system());

	if (rate->per_s <= 0)
		return true;
	rate->tokens += (double)(now - rate->updated_us) / 1e6 * rate->per_s;
	rate->updated_us = now;
	if (rate->tokens > rate->per_s)
		rate->tokens = rate->per_s;
	if (rate->tokens < 1)
		return false;
	rate->tokens -= 1;
	return true;
}
