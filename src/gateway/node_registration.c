#include "gateway/node_registration.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"

#define RETRY_MS 1000

struct node_registration {
	object_store_t *store;
	char *key;
	char *entry;
	char *writer;
	struct event *retry;
	uint64_t version; /* of the entry; OBJECT_ABSENT: not known */
	bool written; /* at least once */
	bool withdrawn;
	int64_t *withdrawn_total;
};

static void write_entry(node_registration_t *registration, uint64_t version);

static void set_written(node_registration_t *registration, uint64_t version)
{
	registration->version = version;
	registration->written = true;
}

static void retry_later(node_registration_t *registration, const GError *error)
{
	const struct timeval pause = { RETRY_MS / 1000, 0 };

	log_info("node_not_registered", "key=%s error=%s", registration->key,
		 error_name(error->code));
	evtimer_add(registration->retry, &pause);
}

static bool is_own_entry(const node_registration_t *registration,
			 const object_value_t *value)
{
	return value->data && strcmp(value->data, registration->entry) == 0;
}

static void on_written(const object_value_t *value, const GError *error,
		       void *user_data)
{
	node_registration_t *registration = user_data;

	if (registration->withdrawn)
		return;
	if (!error) {
		set_written(registration, value->version);
		return;
	}
	if (error->code != WL_ERROR_CONFLICT || !value || !value->data) {
		retry_later(registration, error);
		return;
	}
	if (is_own_entry(registration, value))
		set_written(registration, value->version);
	else
		write_entry(registration, value->version);
}

/* Registers again after an error, or a conflict whose answer lacked the
 * version. */
static void on_read(const object_value_t *value, const GError *error,
		    void *user_data)
{
	node_registration_t *registration = user_data;

	if (registration->withdrawn)
		return;
	if (!error && is_own_entry(registration, value))
		set_written(registration, value->version);
	else
		write_entry(registration,
			    error ? OBJECT_ABSENT : value->version);
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	node_registration_t *registration = arg;

	if (!registration->withdrawn)
		object_get(registration->store, registration->key, on_read,
			   registration);
}

static void write_entry(node_registration_t *registration, uint64_t version)
{
	object_put(registration->store, registration->key, registration->entry,
		   strlen(registration->entry), version, registration->writer,
		   on_written, registration);
}

node_registration_t *
node_registration_new(const node_registration_options_t *options)
{
	node_registration_t *registration = g_new0(node_registration_t, 1);

	registration->store = options->store;
	registration->key = g_strdup(options->key);
	registration->entry = g_strdup(options->entry);
	registration->writer = g_strdup(options->writer);
	registration->retry =
		evtimer_new(options->base, on_retry, registration);
	registration->withdrawn_total =
		counter_get(options->counters, COUNTER_MONOTONIC,
			    "node_entries_withdrawn_total", NULL);
	write_entry(registration, OBJECT_ABSENT);
	return registration;
}

void node_registration_seen(node_registration_t *registration,
			    const object_entry_t *entry)
{
	bool own = entry->data && strcmp(entry->data, registration->entry) == 0;

	registration->version = own ? entry->version : OBJECT_ABSENT;
}

void node_registration_removed(node_registration_t *registration)
{
	registration->version = OBJECT_ABSENT;
	/* Otherwise a write is in progress or will be repeated. */
	if (registration->written && !registration->withdrawn)
		write_entry(registration, OBJECT_ABSENT);
}

static void on_withdrawn(const object_value_t *value, const GError *error,
			 void *user_data)
{
	node_registration_t *registration = user_data;

	if (error)
		log_info("node_entry_left", "key=%s error=%s",
			 registration->key, error_name(error->code));
	else
		(*registration->withdrawn_total)++;
}

void node_registration_withdraw(node_registration_t *registration)
{
	if (registration->withdrawn)
		return;
	registration->withdrawn = true;
	log_info("node_entry_withdrawn", "key=%s version=%" PRIu64,
		 registration->key, registration->version);
	if (registration->version != OBJECT_ABSENT)
		object_remove(registration->store, registration->key,
			      registration->version, on_withdrawn,
			      registration);
}
