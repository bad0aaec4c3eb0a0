#include "emulator/engine_fault.h"

#include <unistd.h>

#include "base/clock.h"

/* Long enough for the answer to POST /fault to leave the process. */
#define EXIT_DELAY_US 20000
#define EXIT_STATUS 3

static int64_t now_ms(void)
{
	return clock_now_ms(clock_system());
}

void engine_fault_init(engine_fault_t *fault, uint32_t seed)
{
	*fault = (engine_fault_t){ .slow_factor = 1 };
	fault->random = g_rand_new_with_seed(seed);
}

void engine_fault_clear(engine_fault_t *fault)
{
	g_rand_free(fault->random);
}

static void set_number(const json_t *root, const char *name, double *out)
{
	const json_t *value = json_object_get(root, name);

	if (json_is_number(value))
		*out = json_number_value(value);
}

static void set_bool(const json_t *root, const char *name, bool *out)
{
	const json_t *value = json_object_get(root, name);

	if (json_is_boolean(value))
		*out = json_is_true(value);
}

static void set_integer(const json_t *root, const char *name, int64_t *out)
{
	const json_t *value = json_object_get(root, name);

	if (json_is_integer(value))
		*out = json_integer_value(value);
}

gboolean engine_fault_set(engine_fault_t *fault, const json_t *root)
{
	int64_t slow_ms = -1;
	int64_t stall_ms = -1;

	if (!json_is_object(root))
		return FALSE;
	set_number(root, "slow_factor", &fault->slow_factor);
	set_integer(root, "slow_ms", &slow_ms);
	set_integer(root, "latency_ms", &fault->latency_ms);
	set_number(root, "fail_rate", &fault->fail_rate);
	set_number(root, "error_rate", &fault->error_rate);
	set_number(root, "cut_rate", &fault->cut_rate);
	set_integer(root, "stall_ms", &stall_ms);
	set_number(root, "wrong_id_rate", &fault->wrong_id_rate);
	set_bool(root, "drain", &fault->drain);
	set_bool(root, "exit", &fault->exit);
	fault->slow_factor = MAX(fault->slow_factor, 1);
	if (slow_ms >= 0)
		fault->slow_until_ms = now_ms() + slow_ms;
	else if (json_object_get(root, "slow_factor"))
		fault->slow_until_ms = INT64_MAX;
	if (stall_ms >= 0)
		fault->stall_until_ms = now_ms() + stall_ms;
	return TRUE;
}

double engine_fault_factor(const engine_fault_t *fault)
{
	return now_ms() < fault->slow_until_ms ? fault->slow_factor : 1;
}

int64_t engine_fault_stall_ms(const engine_fault_t *fault)
{
	int64_t left = fault->stall_until_ms;

	if (left == 0)
		return 0;
	left -= now_ms();
	return MAX(left, 0);
}

bool engine_fault_draw(engine_fault_t *fault, double rate)
{
	return rate > 0 && g_rand_double(fault->random) < rate;
}

static void on_exit_due(evutil_socket_t fd, short events, void *arg)
{
	_exit(EXIT_STATUS);
}

void engine_fault_exit_soon(struct event_base *base)
{
	struct timeval delay = { 0, EXIT_DELAY_US };

	event_base_once(base, -1, EV_TIMEOUT, on_exit_due, NULL, &delay);
}
