#include "gateway/load_view.h"

#include <string.h>

#include "base/log.h"
#include "rpc/load_xdr.h"

G_STATIC_ASSERT(BATCH_URGENCIES == LOAD_URGENCIES);
G_STATIC_ASSERT(BATCH_DEMANDS_MAX == LOAD_DEMANDS_MAX);
G_STATIC_ASSERT(LOAD_NEWS_MAX == LOAD_VIEWS_MAX);

/* Spans several consecutive lost reports at the rate of an idle node. */
#define PEER_TIMEOUT_MS 2000
/* An older speed does not describe the current one, see SLOWNESS_MAX_AGE_MS in
 * fleet.c. */
#define SLOWNESS_MAX_AGE_MS 400
/* Fewer failures are left out, to keep reports small. */
#define FAILURES_MIN_PERCENT 10
/* Requests to a limited runner that the first report of a node counts for. It
 * tells all that the node has sent, most of it long ago if this node is the one
 * that has just started. */
#define FIRST_SENT_MAX 2
/* Clocks of VMs differ by less than 1 in this. */
#define CLOCK_DRIFT_DIVISOR 5000
/* A later time is none of a sound node's clock; differences stay in range. */
#define CLOCK_MAX_US (INT64_MAX / 4)

typedef struct peer {
	char *node;
	char *domain;
	uint64_t incarnation;
	uint64_t sequence;
	int64_t received_us;
	batch_waiting_t batch_waiting; /* of all services */
	bool reports_demands; /* demands holds them by service */
	batch_demand_t demands[BATCH_DEMANDS_MAX];
	uint32_t demand_count;
	bool reaches_store;
	bool started; /* see load_view_take_started() */
	GArray *entries; /* load_entry */
	GArray *failures; /* load_failure */
	GHashTable *sent; /* runner key -> requests sent, as last reported */
	load_contact contact; /* its arrays are from XDR */
	load_news_t news[LOAD_NEWS_MAX];
	uint32_t news_count;
	/* Least difference between this clock and the peer's when a report came:
	 * a greater one is the time that a report was held up on its way. */
	int64_t clock_offset_us; /* INT64_MAX: no report came yet */
	int64_t offset_us; /* time of the last report, by clock_elapsed_us() */
} peer_t;

/* Sums over all peers for one runner. */
typedef struct peer_sum {
	fleet_load_t load;
	uint32_t failures_percent;
} peer_sum_t;

struct load_view {
	const clock_source_t *clock;
	fleet_t *fleet;
	char *node;
	char *domain;
	uint64_t incarnation;
	uint64_t sequence;
	GHashTable *peers; /* node -> peer_t */
	GHashTable *sums; /* runner key -> peer_sum_t */
};

static void peer_free(void *data)
{
	peer_t *peer = data;

	g_array_free(peer->entries, TRUE);
	g_array_free(peer->failures, TRUE);
	g_hash_table_destroy(peer->sent);
	xdr_free((xdrproc_t)xdr_load_contact, &peer->contact);
	g_free(peer->node);
	g_free(peer->domain);
	g_free(peer);
}

load_view_t *load_view_new(const clock_source_t *clock, fleet_t *fleet,
			   const char *node, const char *domain,
			   uint64_t incarnation)
{
	load_view_t *view = g_new0(load_view_t, 1);

	view->clock = clock;
	view->fleet = fleet;
	view->node = g_strdup(node);
	view->domain = g_strdup(domain);
	view->incarnation = incarnation;
	view->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	view->sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	return view;
}

void load_view_free(load_view_t *view)
{
	g_hash_table_destroy(view->peers);
	g_hash_table_destroy(view->sums);
	g_free(view->node);
	g_free(view->domain);
	g_free(view);
}

typedef struct report {
	load_entry entries[LOAD_ENTRIES_MAX];
	load_failure failures[LOAD_ENTRIES_MAX];
	load_limit limits[LOAD_LIMITS_MAX];
	u_int limits_count;
	u_int count;
	u_int failures_count;
	int64_t now_us;
	load_leaving leaving[LOAD_LEAVING_MAX];
	u_int leaving_count;
	uint64_t lost[LOAD_LOST_MAX]; /* hashes of domains */
	u_int lost_count;
} report_t;

static void add_failures(const fleet_runner_t *runner, report_t *report)
{
	load_failure *failure = &report->failures[report->failures_count];
	uint32_t percent =
		failure_record_percent(&runner->local_failures, report->now_us);

	if (report->failures_count == LOAD_ENTRIES_MAX ||
	    percent < FAILURES_MIN_PERCENT)
		return;
	failure->runner = runner->key;
	failure->percent = percent;
	report->failures_count++;
}

static void add_limit(const fleet_runner_t *runner, report_t *report)
{
	const runner_limit_t *limit = &runner->limit;

	if (report->limits_count == LOAD_LIMITS_MAX ||
	    !runner_limit_is_news(limit, report->now_us))
		return;
	report->limits[report->limits_count++] = (load_limit){
		.runner = runner->key,
		.named = limit->rate.named,
		.per_1000_s = limit->rate.per_1000_s,
		.age_ms = (u_int)((report->now_us - limit->told_us) / 1000),
		.sent = limit->sent,
	};
}

static void add_leaving(const fleet_runner_t *runner, report_t *report)
{
	if (report->leaving_count == LOAD_LEAVING_MAX || !runner->leaving)
		return;
	report->leaving[report->leaving_count++] =
		(load_leaving){ runner->key, runner->started_ms };
}

static void add_lost_domain(const char *name, void *user_data)
{
	report_t *report = user_data;

	if (report->lost_count < LOAD_LOST_MAX)
		report->lost[report->lost_count++] = fleet_key(name);
}

static void add_runner(fleet_runner_t *runner, void *user_data)
{
	report_t *report = user_data;
	int64_t age_ms = (report->now_us - runner->slowness_us) / 1000;
	bool has_slowness = runner->slowness_us &&
			    runner->slowness_from_runner &&
			    age_ms < SLOWNESS_MAX_AGE_MS;
	load_entry *entry = &report->entries[report->count];

	add_failures(runner, report);
	add_limit(runner, report);
	add_leaving(runner, report);
	if (report->count == LOAD_ENTRIES_MAX ||
	    (!runner->own.online && !runner->own.batch && !has_slowness))
		return;
	entry->runner = runner->key;
	entry->online = runner->own.online;
	entry->batch = runner->own.batch;
	entry->slowness_percent = has_slowness ? runner->slowness_percent : 0;
	entry->slowness_age_ms = has_slowness ? (u_int)age_ms : 0;
	report->count++;
}

static void add_waiting(batch_waiting_t *sum, const batch_waiting_t *waiting)
{
	for (int i = 0; i < BATCH_URGENCIES; i++)
		sum->items[i] += waiting->items[i];
}

/* Leaves the news out if they do not fit; returns the length of the datagram. */
static size_t encode_news(XDR *xdrs, const load_own_t *own,
			  const clock_source_t *clock)
{
	int64_t now_us = clock_elapsed_us(clock);
	size_t len = xdr_getpos(xdrs);
	load_view_news entries[LOAD_VIEWS_MAX];
	load_views views = { now_us, { own->news_count, entries } };

	for (uint32_t i = 0; i < own->news_count; i++) {
		const view_news_t *news = &own->news[i].news;
		int64_t age_ms = (now_us - news->as_of_us) / 1000;

		entries[i].view = own->news[i].view;
		entries[i].change_min = news->change_min;
		entries[i].change_max = news->change_max;
		entries[i].age_ms = (u_int)CLAMP(age_ms, 0, G_MAXINT32);
	}
	return xdr_load_views(xdrs, &views) ? xdr_getpos(xdrs) : len;
}

/* Leaves the demands, and what follows, out if they do not fit; returns the length
 * of the datagram. */
static size_t encode_demands(XDR *xdrs, const load_own_t *own,
			     const clock_source_t *clock)
{
	size_t len = xdr_getpos(xdrs);
	load_demand entries[LOAD_DEMANDS_MAX];
	load_demands demands = { { own->demand_count, entries } };

	for (uint32_t i = 0; i < own->demand_count; i++) {
		entries[i].service = own->demands[i].service;
		memcpy(entries[i].batch_waiting, own->demands[i].waiting.items,
		       sizeof(entries[i].batch_waiting));
	}
	return xdr_load_demands(xdrs, &demands) ?
		       encode_news(xdrs, own, clock) :
		       len;
}

size_t load_view_encode(load_view_t *view, const load_own_t *own, char *data,
			size_t size)
{
	report_t collected = { .now_us = clock_now_us(view->clock) };
	load_report report;
	load_contact contact;
	batch_waiting_t waiting = { 0 };
	size_t len = 0;
	XDR xdrs;

	fleet_each(view->fleet, add_runner, &collected);
	fleet_each_lost_domain(view->fleet, add_lost_domain, &collected);
	contact.lost.lost_len = collected.lost_count;
	contact.lost.lost_val = collected.lost;
	contact.relay_port = own->relay_port;
	contact.relay_calls = own->relay_calls;
	contact.relay_draining = own->relay_draining;
	contact.relay_repeatable_only = own->relay_repeatable_only;
	report.node = view->node;
	report.domain = view->domain;
	report.incarnation = view->incarnation;
	report.sequence = ++view->sequence;
	for (uint32_t i = 0; i < own->demand_count; i++)
		add_waiting(&waiting, &own->demands[i].waiting);
	memcpy(report.batch_waiting, waiting.items,
	       sizeof(report.batch_waiting));
	report.reaches_store = own->reaches_store;
	report.entries.entries_len = collected.count;
	report.entries.entries_val = collected.entries;
	report.failures.failures_len = collected.failures_count;
	report.failures.failures_val = collected.failures;
	report.limits.limits_len = collected.limits_count;
	report.limits.limits_val = collected.limits;
	report.leaving.leaving_len = collected.leaving_count;
	report.leaving.leaving_val = collected.leaving;
	xdrmem_create(&xdrs, data, (u_int)size, XDR_ENCODE);
	if (xdr_load_report(&xdrs, &report) &&
	    xdr_load_contact(&xdrs, &contact))
		len = encode_demands(&xdrs, own, view->clock);
	xdr_destroy(&xdrs);
	return len;
}

static peer_sum_t *sum_of(load_view_t *view, uint64_t key)
{
	peer_sum_t *sum = g_hash_table_lookup(view->sums, &key);

	if (!sum) {
		sum = g_new0(peer_sum_t, 1);
		g_hash_table_insert(view->sums, g_memdup2(&key, sizeof(key)),
				    sum);
	}
	return sum;
}

/* Stores a changed sum in the fleet. */
static void apply_sum(load_view_t *view, uint64_t key, const peer_sum_t *sum)
{
	fleet_runner_t *runner = fleet_find(view->fleet, key);

	if (runner) {
		runner->peers = sum->load;
		runner->peer_failures_percent = sum->failures_percent;
	}
	if (!sum->load.online && !sum->load.batch && !sum->failures_percent)
		g_hash_table_remove(view->sums, &key);
}

/* Adds a peer's reported load to the sums, or subtracts it. */
static void add_load(load_view_t *view, const peer_t *peer, bool add)
{
	for (guint i = 0; i < peer->entries->len; i++) {
		const load_entry *entry =
			&g_array_index(peer->entries, load_entry, i);
		peer_sum_t *sum = sum_of(view, entry->runner);

		sum->load.online += add ? entry->online : -entry->online;
		sum->load.batch += add ? entry->batch : -entry->batch;
		apply_sum(view, entry->runner, sum);
	}
	for (guint i = 0; i < peer->failures->len; i++) {
		const load_failure *failure =
			&g_array_index(peer->failures, load_failure, i);
		peer_sum_t *sum = sum_of(view, failure->runner);

		sum->failures_percent +=
			add ? failure->percent : -failure->percent;
		apply_sum(view, failure->runner, sum);
	}
}

static void apply_slowness(load_view_t *view, const GArray *entries)
{
	int64_t now_us = clock_now_us(view->clock);

	for (guint i = 0; i < entries->len; i++) {
		const load_entry *entry =
			&g_array_index(entries, load_entry, i);
		fleet_runner_t *runner = fleet_find(view->fleet, entry->runner);
		int64_t at_us = now_us - entry->slowness_age_ms * 1000LL;

		if (!runner || !entry->slowness_percent ||
		    at_us <= runner->slowness_us)
			continue;
		runner->slowness_percent = entry->slowness_percent;
		runner->slowness_us = at_us;
		runner->slowness_from_runner = false;
	}
}

/* Requests that a peer has sent since its last report, by its count. */
static uint32_t newly_sent(peer_t *peer, const load_limit *entry)
{
	void *known;
	bool seen = g_hash_table_lookup_extended(peer->sent, &entry->runner,
						 NULL, &known);
	uint32_t before = seen ? GPOINTER_TO_UINT(known) : 0;

	g_hash_table_insert(peer->sent,
			    g_memdup2(&entry->runner, sizeof(entry->runner)),
			    GUINT_TO_POINTER(entry->sent));
	/* A count that is smaller has begun again with another limit. */
	if (seen)
		return entry->sent >= before ? entry->sent - before :
					       entry->sent;
	return MIN(entry->sent, FIRST_SENT_MAX);
}

static void apply_limits(load_view_t *view, peer_t *peer,
			 const load_report *report)
{
	int64_t now_us = clock_now_us(view->clock);

	for (u_int i = 0; i < report->limits.limits_len; i++) {
		const load_limit *entry = &report->limits.limits_val[i];
		const runner_rate_t rate = { entry->named, entry->per_1000_s };
		fleet_runner_t *runner = fleet_find(view->fleet, entry->runner);

		if (!runner)
			continue;
		fleet_apply_rate(view->fleet, runner, &rate,
				 now_us - entry->age_ms * 1000LL);
		fleet_apply_sent(view->fleet, runner, newly_sent(peer, entry));
	}
}

static peer_t *find_peer(load_view_t *view, const char *node)
{
	peer_t *peer = g_hash_table_lookup(view->peers, node);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->node = g_strdup(node);
	peer->clock_offset_us = INT64_MAX;
	peer->entries = g_array_new(FALSE, FALSE, sizeof(load_entry));
	peer->failures = g_array_new(FALSE, FALSE, sizeof(load_failure));
	peer->sent = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	g_hash_table_insert(view->peers, peer->node, peer);
	log_info("peer_heard", "peer=%s peers=%u", node,
		 g_hash_table_size(view->peers));
	return peer;
}

static bool is_outdated(const peer_t *peer, const load_report *report)
{
	if (report->incarnation != peer->incarnation)
		return report->incarnation < peer->incarnation;
	return report->sequence <= peer->sequence;
}

static void apply_leaving(load_view_t *view, const load_report *report)
{
	for (u_int i = 0; i < report->leaving.leaving_len; i++) {
		const load_leaving *entry = &report->leaving.leaving_val[i];
		fleet_runner_t *runner = fleet_find(view->fleet, entry->runner);

		if (runner && runner->started_ms == entry->started_ms)
			fleet_set_leaving(view->fleet, runner);
	}
}

/* A report of an older version has no contact. */
static void apply_contact(peer_t *peer, XDR *xdrs)
{
	load_contact contact = { 0 };

	if (!xdr_load_contact(xdrs, &contact)) {
		xdr_free((xdrproc_t)xdr_load_contact, &contact);
		contact = (load_contact){ 0 };
	}
	xdr_free((xdrproc_t)xdr_load_contact, &peer->contact);
	peer->contact = contact;
}

/* A report of an older version has no demands, a full one neither. */
static void apply_demands(peer_t *peer, XDR *xdrs)
{
	load_demands demands = { 0 };

	peer->demand_count = 0;
	peer->reports_demands = xdr_load_demands(xdrs, &demands);
	for (u_int i = 0;
	     peer->reports_demands && i < demands.demands.demands_len; i++) {
		const load_demand *entry = &demands.demands.demands_val[i];
		batch_demand_t *demand = &peer->demands[peer->demand_count++];

		demand->service = entry->service;
		memcpy(demand->waiting.items, entry->batch_waiting,
		       sizeof(entry->batch_waiting));
	}
	xdr_free((xdrproc_t)xdr_load_demands, &demands);
}

/* Time for which a report was held up on its way, beyond the fastest ones. */
static int64_t delay_of(peer_t *peer, int64_t sent_us, int64_t now_us)
{
	int64_t offset_us = now_us - sent_us;

	/* The peer's clock may run slower than this one. */
	if (peer->clock_offset_us != INT64_MAX)
		peer->clock_offset_us +=
			(now_us - peer->offset_us) / CLOCK_DRIFT_DIVISOR;
	peer->clock_offset_us = MIN(peer->clock_offset_us, offset_us);
	peer->offset_us = now_us;
	return offset_us - peer->clock_offset_us;
}

/* A report without demands has no news either. */
static void apply_news(const load_view_t *view, peer_t *peer, XDR *xdrs)
{
	int64_t now_us = clock_elapsed_us(view->clock);
	load_views views = { 0 };
	bool decoded = peer->reports_demands && xdr_load_views(xdrs, &views) &&
		       views.sent_us >= 0 && views.sent_us <= CLOCK_MAX_US;
	int64_t left_us =
		decoded ? now_us - delay_of(peer, views.sent_us, now_us) : 0;

	peer->news_count = 0;
	for (u_int i = 0; decoded && i < views.views.views_len; i++) {
		const load_view_news *entry = &views.views.views_val[i];
		const view_news_t news = { entry->change_min, entry->change_max,
					   left_us - entry->age_ms * 1000LL };

		peer->news[peer->news_count++] =
			(load_news_t){ entry->view, news };
	}
	xdr_free((xdrproc_t)xdr_load_views, &views);
}

const char *load_view_apply(load_view_t *view, char *data, size_t len)
{
	load_report report = { 0 };
	peer_t *peer = NULL;
	XDR xdrs;

	xdrmem_create(&xdrs, data, (u_int)len, XDR_DECODE);
	if (xdr_load_report(&xdrs, &report) && report.node &&
	    strcmp(report.node, view->node) != 0) {
		peer = find_peer(view, report.node);
		if (is_outdated(peer, &report))
			peer = NULL;
	}
	if (peer) {
		add_load(view, peer, false);
		g_array_set_size(peer->entries, 0);
		g_array_append_vals(peer->entries, report.entries.entries_val,
				    report.entries.entries_len);
		g_array_set_size(peer->failures, 0);
		g_array_append_vals(peer->failures,
				    report.failures.failures_val,
				    report.failures.failures_len);
		add_load(view, peer, true);
		apply_slowness(view, peer->entries);
		if (report.incarnation != peer->incarnation) {
			peer->clock_offset_us = INT64_MAX;
			g_hash_table_remove_all(peer->sent);
			peer->started = true;
		}
		apply_limits(view, peer, &report);
		apply_leaving(view, &report);
		apply_contact(peer, &xdrs);
		apply_demands(peer, &xdrs);
		apply_news(view, peer, &xdrs);
		peer->incarnation = report.incarnation;
		peer->sequence = report.sequence;
		g_free(peer->domain);
		peer->domain = g_strdup(report.domain);
		memcpy(peer->batch_waiting.items, report.batch_waiting,
		       sizeof(report.batch_waiting));
		peer->reaches_store = report.reaches_store;
		peer->received_us = clock_now_us(view->clock);
	}
	xdr_destroy(&xdrs);
	xdr_free((xdrproc_t)xdr_load_report, &report);
	return peer ? peer->node : NULL;
}

void load_view_each_news(const load_view_t *view, const char *node,
			 load_view_each_news_t each, void *user_data)
{
	const peer_t *peer = g_hash_table_lookup(view->peers, node);

	for (uint32_t i = 0; peer && i < peer->news_count; i++)
		each(&peer->news[i], user_data);
}

bool load_view_take_started(load_view_t *view, const char *node)
{
	peer_t *peer = g_hash_table_lookup(view->peers, node);
	bool started = peer && peer->started;

	if (peer)
		peer->started = false;
	return started;
}

void load_view_expire(load_view_t *view)
{
	int64_t now_us = clock_now_us(view->clock);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (now_us - peer->received_us <= PEER_TIMEOUT_MS * 1000LL)
			continue;
		log_info("peer_silent", "peer=%s silent_ms=%" G_GINT64_FORMAT,
			 peer->node, (now_us - peer->received_us) / 1000);
		add_load(view, peer, false);
		g_hash_table_iter_remove(&iter);
	}
}

const char *load_view_domain(const load_view_t *view, const char *node)
{
	const peer_t *peer = g_hash_table_lookup(view->peers, node);

	return peer ? peer->domain : NULL;
}

bool load_view_is_staying(const load_view_t *view, const char *node)
{
	const peer_t *peer = g_hash_table_lookup(view->peers, node);

	return peer && !peer->contact.relay_draining;
}

static void add_peer_waiting(const peer_t *peer, uint64_t service,
			     batch_waiting_t *sum)
{
	if (!peer->reports_demands)
		add_waiting(sum, &peer->batch_waiting);
	for (uint32_t i = 0; i < peer->demand_count; i++)
		if (peer->demands[i].service == service)
			add_waiting(sum, &peer->demands[i].waiting);
}

void load_view_batch_waiting(const load_view_t *view, uint64_t service,
			     bool local_only, batch_waiting_t *before,
			     batch_waiting_t *after)
{
	GHashTableIter iter;
	void *value;

	*before = (batch_waiting_t){ 0 };
	*after = (batch_waiting_t){ 0 };
	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (local_only && g_strcmp0(peer->domain, view->domain) != 0)
			continue;
		add_peer_waiting(peer, service,
				 strcmp(peer->node, view->node) < 0 ? before :
								      after);
	}
}

void load_view_domain_waiting(const load_view_t *view, uint64_t service,
			      const char *domain, batch_waiting_t *waiting)
{
	GHashTableIter iter;
	void *value;

	*waiting = (batch_waiting_t){ 0 };
	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (g_strcmp0(peer->domain, domain) == 0)
			add_peer_waiting(peer, service, waiting);
	}
}

static bool is_store_peer(const peer_t *peer, const char *domain)
{
	return peer->reaches_store &&
	       (!domain || g_strcmp0(peer->domain, domain) == 0);
}

const char *load_view_store_peer(const load_view_t *view, const char *domain,
				 double draw)
{
	GHashTableIter iter;
	void *value;
	uint32_t count = 0;
	uint32_t chosen;

	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += is_store_peer(value, domain);
	if (count == 0)
		return NULL;
	chosen = (uint32_t)(draw * count);
	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (is_store_peer(peer, domain) && chosen-- == 0)
			return peer->node;
	}
	return NULL;
}

static bool has_lost(const peer_t *peer, uint64_t domain)
{
	for (u_int i = 0; i < peer->contact.lost.lost_len; i++)
		if (peer->contact.lost.lost_val[i] == domain)
			return true;
	return false;
}

void load_view_each_relay(const load_view_t *view, const char *domain,
			  load_view_each_relay_t each, void *user_data)
{
	int64_t now_us = clock_now_us(view->clock);
	uint64_t key = fleet_key(domain);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;
		const relay_candidate_t candidate = {
			.accepts = peer->contact.relay_port != 0,
			.local = g_strcmp0(peer->domain, view->domain) == 0,
			.target = g_strcmp0(peer->domain, domain) == 0,
			.lost_target = has_lost(peer, key),
			.draining = peer->contact.relay_draining,
			.repeatable_only = peer->contact.relay_repeatable_only,
			.calls = peer->contact.relay_calls,
			.age_ms = (now_us - peer->received_us) / 1000,
		};

		each(peer->node, (uint16_t)peer->contact.relay_port, &candidate,
		     user_data);
	}
}

uint32_t load_view_lost(const load_view_t *view, const char *domain)
{
	uint64_t key = fleet_key(domain);
	GHashTableIter iter;
	void *value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, view->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += has_lost(value, key);
	return count;
}

uint32_t load_view_peers(const load_view_t *view)
{
	return g_hash_table_size(view->peers);
}
