#include "batch/dispatcher.h"

#include <stdio.h>
#include <string.h>

#include "batch/coordinator.h"
#include "batch/job.h"
#include "batch/result.h"
#include "unit.h"

/*
 * Runs a complete job on simulated nodes and compares it with a naive model:
 * the list of expected results. Messages are delayed, lost and reordered; nodes
 * crash and freeze; the coordinator moves, and the former one may continue for
 * a while, partitioned from the store only; the job may be cancelled.
 */
#define WORKERS 3
#define RUNNERS 3
#define STEP_MS 20
#define TAKEOVER_MS 6000
#define RENEW_MS 2000 /* interval of writes of the shard's head */
#define RECORD_LEASE_MS 5000
#define HISTORIES 150
#define MAX_ITEMS 120

typedef struct world world_t;
typedef struct message message_t;

typedef struct worker {
	world_t *world;
	dispatcher_t *dispatcher;
	uint32_t generation;
	int64_t frozen_until_ms;
	int64_t partitioned_until_ms; /* partitioned from the coordinator */
	char name[16];
} worker_t;

typedef struct owner {
	world_t *world;
	coordinator_t *coordinator;
	uint32_t generation;
	int64_t written_ms; /* start of its last successful head write */
} owner_t;

struct message {
	int64_t due_ms;
	void (*deliver)(world_t *world, message_t *message);
	worker_t *worker; /* NULL: for the coordinator */
	uint32_t generation;
	uint64_t start;
	char *job;
	uint32_t first;
	coordinator_result_t result;
	GArray *suspects;
	int64_t sent_ms;
	int status;
	GBytes *data;
	char *text;
	uint64_t version;
};

typedef struct stream {
	dispatch_item_t *item;
	worker_t *worker;
} stream_t;

struct world {
	clock_manual_t clock;
	GRand *random;
	GPtrArray *messages;
	GPtrArray *streams;
	GHashTable *objects; /* key -> GBytes */
	worker_t workers[WORKERS];
	int64_t dead_until_ms[WORKERS][RUNNERS];
	owner_t *owner; /* NULL between owners */
	owner_t *former; /* partitioned from the store; may be NULL */
	uint32_t generation; /* of the last owner */
	int64_t former_until_ms;
	int64_t takeover_ms;
	char *record;
	size_t record_len;
	uint64_t version;
	job_state_t state;
	GBytes *input;
	uint32_t total;
	uint32_t kill_item;
	uint32_t fail_item;
	uint32_t starts_after_cancel;
	uint32_t reported_losses[MAX_ITEMS]; /* reported to some coordinator */
	uint32_t token_bytes; /* bytes per token */
	int32_t steps_per_token; /* steps per token */
	bool faults_disabled; /* no further faults, so that the job ends */
};

static int64_t now(const world_t *world)
{
	return clock_now_ms(&world->clock.base);
}

static bool chance(world_t *world, double probability)
{
	return !world->faults_disabled &&
	       g_rand_double(world->random) < probability;
}

static message_t *post(world_t *world, void (*deliver)(world_t *, message_t *))
{
	message_t *message = g_new0(message_t, 1);

	message->due_ms = now(world) + g_rand_int_range(world->random, 0, 60);
	message->deliver = deliver;
	g_ptr_array_add(world->messages, message);
	return message;
}

static void message_free(void *data)
{
	message_t *message = data;

	g_free(message->job);
	g_free(message->text);
	if (message->suspects)
		g_array_free(message->suspects, TRUE);
	if (message->data)
		g_bytes_unref(message->data);
	g_free(message);
}

static message_t *post_worker(worker_t *worker,
			      void (*deliver)(world_t *, message_t *))
{
	message_t *message = post(worker->world, deliver);

	message->worker = worker;
	message->generation = worker->generation;
	return message;
}

/* The naive model: the expected result of an item and its number of tokens. */
static uint32_t expected_tokens(uint32_t number)
{
	return 1 + number * 7 % 13;
}

static char *token_text(const world_t *world, uint32_t number, uint32_t token)
{
	return g_strdup_printf("t%u.%-*u ", number, (int)world->token_bytes,
			       token);
}

static void expected_text(const world_t *world, uint32_t number, GString *text)
{
	for (uint32_t i = 0; i < expected_tokens(number); i++) {
		char *token = token_text(world, number, i);

		g_string_append(text, token);
		g_free(token);
	}
}

static char *expected_line(world_t *world, uint32_t number)
{
	GString *text = g_string_new(NULL);
	char *line;

	if (number == world->fail_item)
		g_string_append_printf(text, "E i%u engine_error", number);
	else if (number == world->kill_item)
		g_string_append_printf(text, "E i%u runner_lost", number);
	else {
		g_string_append_printf(text, "O i%u ", number);
		expected_text(world, number, text);
	}
	line = g_string_free(text, FALSE);
	return line;
}

/* Store and ledger. */

static void deliver_updated(world_t *world, message_t *message)
{
	job_t *job;

	if (!world->owner || message->generation != world->owner->generation)
		return;
	if (message->text) {
		job = job_decode(message->text, strlen(message->text), NULL);
		coordinator_apply_record(world->owner->coordinator, job,
					 message->version);
	}
	coordinator_updated(world->owner->coordinator, message->job,
			    message->start, message->status, message->version);
}

static void commit(world_t *world, job_t *job)
{
	g_free(world->record);
	world->record = job_encode(job, &world->record_len);
	world->state = job->state;
	world->version++;
}

static void deliver_update(world_t *world, message_t *message)
{
	job_t *job = job_decode(message->text, strlen(message->text), NULL);
	message_t *answer;
	bool ok = message->generation == world->generation &&
		  message->version == world->version;

	answer = post(world, deliver_updated);
	answer->generation = message->generation;
	answer->job = g_strdup(job->id);
	answer->start = message->start;
	if (ok)
		commit(world, job);
	answer->version = world->version;
	answer->status = ok;
	if (!ok)
		answer->text = g_strdup(world->record);
	if (chance(world, 0.1)) {
		answer->status = FALSE;
		g_free(answer->text);
		answer->text = NULL;
	}
	job_free(job);
}

static void op_update(const job_t *job, uint64_t version, uint64_t start,
		      void *user_data)
{
	const owner_t *owner = user_data;
	message_t *message = post(owner->world, deliver_update);
	size_t len;

	message->text = job_encode(job, &len);
	message->version = version;
	message->start = start;
	message->generation =
		owner == owner->world->owner ? owner->generation : 0;
}

static void report_result(world_t *world, const char *job, GBytes *object)
{
	size_t len;
	const char *data = g_bytes_get_data(object, &len);
	coordinator_result_t told;
	result_t result;

	CU_ASSERT_TRUE_FATAL(result_parse(data, len, &result, NULL));
	told = (coordinator_result_t){ result.first, result.count,
				       result.completed, result.failed };
	coordinator_result_found(world->owner->coordinator, job, &told);
}

static int compare_text(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static GPtrArray *sorted_keys(world_t *world)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, world->objects);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_text);
	return keys;
}

static void deliver_learn(world_t *world, message_t *message)
{
	GPtrArray *keys;
	bool ok = !chance(world, 0.3);

	if (!world->owner || message->generation != world->owner->generation)
		return;
	keys = sorted_keys(world);
	for (guint i = 0; ok && i < keys->len; i++)
		if (coordinator_needs_result(
			    world->owner->coordinator, message->job,
			    (uint32_t)result_key_first(keys->pdata[i])))
			report_result(world, message->job,
				      g_hash_table_lookup(world->objects,
							  keys->pdata[i]));
	g_ptr_array_free(keys, TRUE);
	coordinator_results_listed(world->owner->coordinator, message->job,
				   message->start, ok);
}

static void op_learn(const char *job, uint64_t start, void *user_data)
{
	const owner_t *owner = user_data;
	message_t *message = post(owner->world, deliver_learn);

	message->start = start;
	message->job = g_strdup(job);
	message->generation = owner->generation;
}

static void deliver_check(world_t *world, message_t *message)
{
	char *key = result_key(message->job, message->first);
	GBytes *object = g_hash_table_lookup(world->objects, key);

	g_free(key);
	if (!world->owner || message->generation != world->owner->generation)
		return;
	if (object)
		report_result(world, message->job, object);
	else
		coordinator_result_missing(world->owner->coordinator,
					   message->job, message->first);
}

static void op_check(const char *job, uint32_t first, void *user_data)
{
	const owner_t *owner = user_data;
	message_t *message = post(owner->world, deliver_check);

	message->job = g_strdup(job);
	message->first = first;
	message->generation = owner->generation;
}

static gboolean op_has_record(const char *job, void *user_data)
{
	const owner_t *owner = user_data;

	return now(owner->world) - owner->written_ms < RECORD_LEASE_MS;
}

/* Messages between workers and the coordinator. */

static GArray *copy_suspects(const GArray *suspects)
{
	GArray *copy = g_array_new(FALSE, FALSE, sizeof(item_failures_t));

	if (suspects && suspects->len)
		g_array_append_vals(copy, suspects->data, suspects->len);
	return copy;
}

static bool calls_former(const world_t *world, const worker_t *worker)
{
	return (world->former->generation + worker->name[7]) % 2 == 0;
}

/* Returns the coordinator that receives the message: some workers continue to
 * call a former one. NULL: the message is lost. */
static coordinator_t *receiving_coordinator(world_t *world,
					    const message_t *message)
{
	if (now(world) < message->worker->partitioned_until_ms)
		return NULL;
	if (world->former && calls_former(world, message->worker))
		return world->former->coordinator;
	return world->owner ? world->owner->coordinator : NULL;
}

static void deliver_granted(world_t *world, message_t *message)
{
	dispatcher_grant_t grant = {
		.partner = "guild",
		.deployment = "muse",
		.job = message->job,
		.input_file_id = "file",
		.part = 0,
		.line = message->first,
		.first = message->first,
		.count = message->result.count,
		.slack_ms = 1000,
		.lease_until_ms = message->sent_ms + COORDINATOR_LEASE_MS,
		.suspects = message->suspects,
	};

	if (message->job)
		dispatcher_granted(message->worker->dispatcher, &grant);
	dispatcher_pulled(message->worker->dispatcher, "guild", "muse",
			  message->job ? 0 : 200);
}

static void deliver_pull(world_t *world, message_t *message)
{
	message_t *answer = post_worker(message->worker, deliver_granted);
	coordinator_t *coordinator = receiving_coordinator(world, message);
	coordinator_grant_t grant;

	answer->generation = message->generation;
	answer->sent_ms = message->sent_ms;
	if (!coordinator ||
	    !coordinator_pull(coordinator, message->worker->name, "guild",
			      "muse", &grant))
		return;
	if (chance(world, 0.1))
		return; /* the grant is lost */
	answer->job = g_strdup(grant.job);
	answer->first = grant.first;
	answer->result.count = grant.count;
	answer->suspects = copy_suspects(grant.suspects);
}

static void op_pull(const char *partner, const char *deployment,
		    void *user_data)
{
	message_t *message = post_worker(user_data, deliver_pull);

	message->sent_ms = now(message->worker->world);
}

static void deliver_loaded(world_t *world, message_t *message)
{
	dispatcher_loaded(message->worker->dispatcher, message->job,
			  message->first,
			  chance(world, 0.2) ? NULL : world->input);
}

static void op_load(const dispatch_chunk_t *chunk, void *user_data)
{
	message_t *message = post_worker(user_data, deliver_loaded);

	message->job = g_strdup(chunk->job);
	message->first = chunk->first;
}

static void deliver_renewed(world_t *world, message_t *message)
{
	dispatcher_renewed(message->worker->dispatcher, message->job,
			   message->first, message->status >= 0,
			   (lease_status_t)message->status, message->sent_ms);
}

static void record_reported_losses(world_t *world, const GArray *suspects)
{
	for (guint i = 0; i < suspects->len; i++) {
		const item_failures_t *s =
			&g_array_index(suspects, item_failures_t, i);

		world->reported_losses[s->item] =
			MAX(world->reported_losses[s->item], s->runner_losses);
	}
}

static void deliver_renew(world_t *world, message_t *message)
{
	message_t *answer = post_worker(message->worker, deliver_renewed);
	coordinator_t *coordinator = receiving_coordinator(world, message);

	answer->generation = message->generation;
	answer->job = g_strdup(message->job);
	answer->first = message->first;
	answer->sent_ms = message->sent_ms;
	answer->status = -1;
	if (!coordinator || chance(world, 0.1))
		return;
	record_reported_losses(world, message->suspects);
	answer->status = coordinator_renew(coordinator, message->worker->name,
					   message->job, message->first,
					   message->suspects);
	if (chance(world, 0.1))
		answer->status = -1;
}

static void op_renew(const dispatch_chunk_t *chunk, const GArray *suspects,
		     void *user_data)
{
	message_t *message = post_worker(user_data, deliver_renew);

	message->job = g_strdup(chunk->job);
	message->first = chunk->first;
	message->suspects = copy_suspects(suspects);
	message->sent_ms = now(message->worker->world);
}

static void deliver_written(world_t *world, message_t *message)
{
	dispatcher_written(message->worker->dispatcher, message->job,
			   message->first,
			   (object_write_outcome_t)message->status);
}

/* A write takes effect even if its writer has crashed. */
static void deliver_write(world_t *world, message_t *message)
{
	message_t *answer = post_worker(message->worker, deliver_written);
	char *key = result_key(message->job, message->first);
	bool exists = g_hash_table_contains(world->objects, key);

	answer->generation = message->generation;
	answer->job = g_strdup(message->job);
	answer->first = message->first;
	answer->status = exists ? OBJECT_LOST : OBJECT_WRITTEN;
	if (exists)
		g_free(key);
	else
		g_hash_table_insert(world->objects, key,
				    g_bytes_ref(message->data));
}

static void op_write(const dispatch_chunk_t *chunk, GBytes *object,
		     void *user_data)
{
	message_t *message = post_worker(user_data, deliver_write);

	message->job = g_strdup(chunk->job);
	message->first = chunk->first;
	message->data = g_bytes_ref(object);
	if (chance(message->worker->world, 0.2))
		message->due_ms += 4000;
}

static void deliver_done(world_t *world, message_t *message)
{
	coordinator_t *coordinator = receiving_coordinator(world, message);

	if (coordinator && !chance(world, 0.2))
		coordinator_done(coordinator, message->worker->name,
				 message->job, &message->result);
}

static void op_done(const dispatch_chunk_t *chunk,
		    const coordinator_result_t *result, void *user_data)
{
	message_t *message = post_worker(user_data, deliver_done);

	message->job = g_strdup(chunk->job);
	message->result = *result;
}

static void deliver_hand_back(world_t *world, message_t *message)
{
	coordinator_t *coordinator = receiving_coordinator(world, message);

	if (!coordinator || chance(world, 0.2))
		return;
	record_reported_losses(world, message->suspects);
	coordinator_release(coordinator, message->worker->name, message->job,
			    message->first, message->suspects);
}

static void op_hand_back(const dispatch_chunk_t *chunk, const GArray *suspects,
			 void *user_data)
{
	message_t *message = post_worker(user_data, deliver_hand_back);

	message->job = g_strdup(chunk->job);
	message->first = chunk->first;
	message->suspects = copy_suspects(suspects);
}

/* Engines. */

static void op_start(dispatch_item_t *item, json_t *body, void *user_data)
{
	worker_t *worker = user_data;
	stream_t *stream = g_new0(stream_t, 1);

	if (worker->world->state == JOB_CANCELLED)
		worker->world->starts_after_cancel++;
	/* A runner loss known only to the holder would be lost with it. */
	CU_ASSERT(item->runner_losses <=
		  worker->world->reported_losses[item->number]);
	/* A suspect must run alone among the batch items of its runner. */
	CU_ASSERT(item->runner_losses == 0 || item->runner->running->len == 1);
	CU_ASSERT(!item->runner->exclusive_item ||
		  item->runner->exclusive_item == item);
	stream->item = item;
	stream->worker = worker;
	item->call = stream;
	g_ptr_array_add(worker->world->streams, stream);
}

static void op_stop(dispatch_item_t *item, void *user_data)
{
	worker_t *worker = user_data;

	CU_ASSERT_TRUE(g_ptr_array_remove(worker->world->streams, item->call));
}

static void deliver_probed(world_t *world, message_t *message)
{
	int runner = message->job[1] - '0';

	dispatcher_probed(message->worker->dispatcher, message->job,
			  now(world) >=
				  world->dead_until_ms[message->worker -
						       world->workers][runner]);
}

static void op_probe(const char *address, void *user_data)
{
	message_t *message = post_worker(user_data, deliver_probed);

	message->job = g_strdup(address);
}

static int64_t *runner_dead_until(stream_t *stream)
{
	worker_t *worker = stream->worker;
	int runner = stream->item->runner->address[1] - '0';

	return &worker->world->dead_until_ms[worker - worker->world->workers]
					    [runner];
}

static void kill_runner(world_t *world, stream_t *stream)
{
	dispatch_runner_t *runner = stream->item->runner;
	worker_t *worker = stream->worker;

	*runner_dead_until(stream) = now(world) + 1500;
	for (guint i = world->streams->len; i-- > 0;) {
		stream_t *other = world->streams->pdata[i];
		dispatch_item_t *item = other->item;

		if (item->runner != runner)
			continue;
		g_ptr_array_remove_index(world->streams, i);
		dispatcher_item_truncated(worker->dispatcher, item);
	}
}

static void finish_stream(stream_t *stream)
{
	dispatch_item_t *item = stream->item;
	dispatcher_t *dispatcher = stream->worker->dispatcher;
	char *line =
		result_output_line(item->custom_id, "r",
				   json_pack("{s:s}", "text", item->text->str));

	g_ptr_array_remove(stream->worker->world->streams, stream);
	dispatcher_item_completed(dispatcher, item, line);
}

static void run_stream(world_t *world, stream_t *stream)
{
	dispatch_item_t *item = stream->item;
	dispatcher_t *dispatcher = stream->worker->dispatcher;
	char *token;

	if (now(world) < stream->worker->frozen_until_ms)
		return;
	if (now(world) < *runner_dead_until(stream)) {
		g_ptr_array_remove(world->streams, stream);
		dispatcher_item_refused(dispatcher, item);
	} else if (item->number == world->kill_item) {
		kill_runner(world, stream);
	} else if (item->number == world->fail_item) {
		g_ptr_array_remove(world->streams, stream);
		dispatcher_item_failed(dispatcher, item, "engine_error",
				       "always");
	} else if (chance(world, 0.002)) {
		g_ptr_array_remove(world->streams, stream);
		dispatcher_item_truncated(dispatcher, item);
	} else {
		token = token_text(world, item->number, (uint32_t)item->tokens);
		dispatcher_item_tokens(dispatcher, item, token, 1);
		g_free(token);
		if (item->tokens == expected_tokens(item->number))
			finish_stream(stream);
	}
}

static void run_engines(world_t *world)
{
	for (guint i = world->streams->len; i-- > 0;)
		if (i < world->streams->len &&
		    g_rand_int_range(world->random, 0,
				     world->steps_per_token) == 0)
			run_stream(world, world->streams->pdata[i]);
}

/* Nodes. */

static void worker_start(worker_t *worker)
{
	static const slot_options_t slots = { .policy = SLOT_LEARNED };
	static const dispatcher_runner_info_t runners[RUNNERS] = {
		{ "r0", "guild", "muse" },
		{ "r1", "guild", "muse" },
		{ "r2", "guild", "muse" },
	};
	dispatcher_ops_t ops = {
		.start = op_start,
		.stop = op_stop,
		.probe = op_probe,
		.pull = op_pull,
		.load = op_load,
		.renew = op_renew,
		.write = op_write,
		.done = op_done,
		.release = op_hand_back,
		.user_data = worker,
	};

	worker->generation++;
	worker->dispatcher =
		dispatcher_new(&ops, &worker->world->clock.base, &slots);
	dispatcher_set_runners(worker->dispatcher, runners, RUNNERS);
	for (int i = 0; i < RUNNERS; i++)
		dispatcher_report_slots(worker->dispatcher, runners[i].address,
					2);
}

static void worker_crash(world_t *world, worker_t *worker)
{
	for (guint i = world->streams->len; i-- > 0;)
		if (((stream_t *)world->streams->pdata[i])->worker == worker)
			g_ptr_array_remove_index(world->streams, i);
	dispatcher_free(worker->dispatcher);
	worker_start(worker);
}

static void coordinator_start(world_t *world)
{
	owner_t *owner = g_new0(owner_t, 1);
	coordinator_ops_t ops = {
		.update = op_update,
		.find_results = op_learn,
		.read_result = op_check,
		.has_record = op_has_record,
		.user_data = owner,
	};

	owner->world = world;
	owner->coordinator = coordinator_new(&ops, &world->clock.base);
	owner->generation = ++world->generation;
	owner->written_ms = now(world);
	world->owner = owner;
	coordinator_apply_record(
		world->owner->coordinator,
		job_decode(world->record, world->record_len, NULL),
		world->version);
}

static void cancel(world_t *world)
{
	job_t *job = job_decode(world->record, world->record_len, NULL);

	if (job_transition(job, JOB_CANCELLING, 1)) {
		commit(world, job);
		if (world->owner)
			coordinator_apply_record(world->owner->coordinator,
						 job_decode(world->record,
							    world->record_len,
							    NULL),
						 world->version);
	}
	job_free(job);
}

static void owner_free(owner_t *owner)
{
	if (!owner)
		return;
	coordinator_free(owner->coordinator);
	g_free(owner);
}

/* The owner crashes, or it is partitioned from the store and still reaches
 * nodes. */
static void depose_owner(world_t *world)
{
	owner_t *owner = g_steal_pointer(&world->owner);

	world->takeover_ms = owner->written_ms + TAKEOVER_MS;
	if (g_rand_boolean(world->random)) {
		owner_free(owner);
		return;
	}
	owner_free(world->former);
	world->former = owner;
	world->former_until_ms =
		now(world) + g_rand_int_range(world->random, 0, 25000);
}

static void run_owners(world_t *world)
{
	if (world->owner) {
		if (now(world) - world->owner->written_ms >= RENEW_MS)
			world->owner->written_ms = now(world);
		coordinator_tick(world->owner->coordinator);
	}
	if (!world->former)
		return;
	if (now(world) < world->former_until_ms)
		coordinator_tick(world->former->coordinator);
	else
		owner_free(g_steal_pointer(&world->former));
}

static void inject_faults(world_t *world)
{
	worker_t *worker =
		&world->workers[g_rand_int_range(world->random, 0, WORKERS)];
	char address[4] = "r0";

	address[1] = (char)('0' + g_rand_int_range(world->random, 0, RUNNERS));
	if (chance(world, 0.004))
		worker_crash(world, worker);
	if (chance(world, 0.004))
		worker->frozen_until_ms =
			now(world) + g_rand_int_range(world->random, 500, 9000);
	if (chance(world, 0.002))
		worker->partitioned_until_ms =
			now(world) + g_rand_int_range(world->random, 500, 9000);
	if (chance(world, 0.1))
		dispatcher_set_online(
			worker->dispatcher, address,
			(uint32_t)g_rand_int_range(world->random, 0, 3));
	if (chance(world, 0.002))
		dispatcher_drain(worker->dispatcher);
	if (world->owner && chance(world, 0.003))
		depose_owner(world);
	if (!world->owner && now(world) >= world->takeover_ms)
		coordinator_start(world);
}

static void deliver_due(world_t *world)
{
	for (guint i = 0; i < world->messages->len;) {
		message_t *message = world->messages->pdata[i];
		worker_t *worker = message->worker;

		if (message->due_ms > now(world) ||
		    (worker && now(world) < worker->frozen_until_ms)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(world->messages, i);
		/* Writes take effect even if their writer has crashed. */
		if (!worker || message->generation == worker->generation ||
		    message->deliver == deliver_write)
			message->deliver(world, message);
		message_free(message);
	}
}

static void step(world_t *world)
{
	clock_manual_advance_ms(&world->clock, STEP_MS);
	inject_faults(world);
	deliver_due(world);
	run_engines(world);
	for (int i = 0; i < WORKERS; i++)
		if (now(world) >= world->workers[i].frozen_until_ms)
			dispatcher_tick(world->workers[i].dispatcher);
	run_owners(world);
}

static void world_init(world_t *world, uint32_t seed)
{
	GString *input = g_string_new(NULL);
	job_t *job = job_new();
	uint32_t items;

	memset(world, 0, sizeof(*world));
	clock_manual_init(&world->clock, 1000000);
	world->random = g_rand_new_with_seed(seed);
	world->messages = g_ptr_array_new();
	world->streams = g_ptr_array_new_with_free_func(g_free);
	world->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	/* A cancelled job must be slow enough to still run after its
	 * coordinator has moved. */
	world->steps_per_token = seed % 3 == 0 ? 30 : 2;
	world->token_bytes = seed % 10 == 0 ? 20000 : 1;
	world->total = items =
		(uint32_t)g_rand_int_range(world->random, 1, MAX_ITEMS);
	world->kill_item =
		(uint32_t)g_rand_int_range(world->random, 0, MAX_ITEMS);
	world->fail_item =
		(uint32_t)g_rand_int_range(world->random, 0, MAX_ITEMS);
	for (uint32_t i = 0; i < items; i++)
		g_string_append_printf(
			input,
			"{\"custom_id\":\"i%u\",\"method\":\"POST\","
			"\"url\":\"/v1/chat/completions\",\"body\":"
			"{\"model\":\"muse\",\"messages\":[]}}\n",
			i);
	world->input = g_string_free_to_bytes(input);
	job->id = g_strdup("job");
	job->partner = g_strdup("guild");
	job->workspace = g_strdup("w");
	job->deployment = g_strdup("muse");
	job->input_file_id = g_strdup("file");
	job->endpoint = g_strdup("/v1/chat/completions");
	job->window = g_strdup("1h");
	job->metadata = g_strdup("{}");
	job->digest = g_strdup("d");
	job->total = items;
	job->chunk_items = 16;
	job->at_ms[JOB_VALIDATING] = 1000000;
	job->expires_ms = 1000000 + 3600000;
	g_array_append_val(job->part_items, items);
	commit(world, job);
	job_free(job);
	for (int i = 0; i < WORKERS; i++) {
		world->workers[i].world = world;
		snprintf(world->workers[i].name, 16, "worker-%d", i);
		worker_start(&world->workers[i]);
	}
	coordinator_start(world);
}

static void world_clear(world_t *world)
{
	for (int i = 0; i < WORKERS; i++)
		dispatcher_free(world->workers[i].dispatcher);
	owner_free(world->owner);
	owner_free(world->former);
	for (guint i = 0; i < world->messages->len; i++)
		message_free(world->messages->pdata[i]);
	g_ptr_array_free(world->messages, TRUE);
	g_ptr_array_free(world->streams, TRUE);
	g_hash_table_destroy(world->objects);
	g_bytes_unref(world->input);
	g_rand_free(world->random);
	g_free(world->record);
}

/* Converts a stored line to the format of the model. */
static char *model_form(const char *line, bool is_error)
{
	json_t *root = json_loads(line, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "custom_id"));
	json_t *response = json_object_get(root, "response");
	json_t *error = json_object_get(root, "error");
	char *text;

	if (is_error)
		text = g_strdup_printf(
			"E %s %s", id,
			json_string_value(json_object_get(error, "code")));
	else
		text = g_strdup_printf(
			"O %s %s", id,
			json_string_value(json_object_get(
				json_object_get(response, "body"), "text")));
	json_decref(root);
	return text;
}

static void count_lines(world_t *world, const char *text, size_t len,
			bool is_error, uint32_t *seen)
{
	char *copy = g_strndup(text, len);
	char **lines = g_strsplit(copy, "\n", -1);

	for (char **line = lines; *line && **line; line++) {
		char *form = model_form(*line, is_error);
		uint32_t number =
			(uint32_t)g_ascii_strtoull(form + 3, NULL, 10);
		char *expected = expected_line(world, number);

		if (!is_error || strcmp(form, expected) == 0)
			CU_ASSERT_STRING_EQUAL(form, expected);
		/* An item of a truncated stream may have had two runner
		 * losses. */
		if (is_error && strcmp(form, expected) != 0)
			CU_ASSERT_PTR_NOT_NULL(strstr(form, "runner_lost"));
		seen[number]++;
		g_free(expected);
		g_free(form);
	}
	g_strfreev(lines);
	g_free(copy);
}

static void check_results(world_t *world, const job_t *job)
{
	uint32_t *seen = g_new0(uint32_t, world->total);
	uint32_t results = 0;
	GHashTableIter iter;
	void *object;

	g_hash_table_iter_init(&iter, world->objects);
	while (g_hash_table_iter_next(&iter, NULL, &object)) {
		size_t len;
		const char *data = g_bytes_get_data(object, &len);
		result_t result;

		CU_ASSERT_TRUE_FATAL(result_parse(data, len, &result, NULL));
		count_lines(world, result.output, result.output_len, false,
			    seen);
		count_lines(world, result.errors, result.errors_len, true,
			    seen);
	}
	for (uint32_t i = 0; i < world->total; i++) {
		CU_ASSERT(seen[i] <= 1);
		results += seen[i];
	}
	if (job->state == JOB_COMPLETED) {
		CU_ASSERT_EQUAL(results, world->total);
		CU_ASSERT_EQUAL(job->completed + job->failed, world->total);
	}
	g_free(seen);
}

/* A later cancellation is sent at once when a former coordinator runs
 * concurrently with its successor, which acknowledges it. */
static bool is_cancel_due(const world_t *world, int64_t cancel_ms)
{
	return now(world) >= cancel_ms || (world->owner && world->former);
}

static void run_history(uint32_t seed)
{
	world_t world;
	int64_t cancel_ms;
	job_t *job;

	world_init(&world, seed);
	cancel_ms =
		seed % 3 == 0 ? g_rand_int_range(world.random, 0, 40000) : -1;
	while (!job_state_is_final(world.state) && now(&world) < 600000) {
		world.faults_disabled = now(&world) > 60000;
		if (cancel_ms >= 0 && is_cancel_due(&world, cancel_ms)) {
			cancel(&world);
			cancel_ms = -1;
		}
		for (int i = 0; world.faults_disabled && i < WORKERS; i++)
			if (now(&world) == 60020 + i * STEP_MS)
				worker_crash(&world, &world.workers[i]);
		step(&world);
	}
	/* An acknowledged cancellation must persist. */
	for (int i = 0; i < 500; i++)
		step(&world);
	job = job_decode(world.record, world.record_len, NULL);
	if (!job_state_is_final(job->state))
		fprintf(stderr, "seed %u ends as %s after %u of %u\n", seed,
			job_state_name(job->state),
			job->completed + job->failed, job->total);
	CU_ASSERT(job_state_is_final(job->state));
	CU_ASSERT_EQUAL(world.starts_after_cancel, 0);
	check_results(&world, job);
	job_free(job);
	world_clear(&world);
}

/* Each item must get exactly one result despite lost nodes and messages. */
static void test_histories(void)
{
	for (uint32_t seed = 1; seed <= HISTORIES; seed++)
		run_history(seed);
}

/* A dispatcher whose calls get no answers but those of the test. */
typedef struct silent {
	int running;
} silent_t;

static void silent_start(dispatch_item_t *item, json_t *body, void *user_data)
{
	((silent_t *)user_data)->running++;
}

static void silent_stop(dispatch_item_t *item, void *user_data)
{
	((silent_t *)user_data)->running--;
}

static void silent_pull(const char *partner, const char *deployment,
			void *user_data)
{
}

static void silent_load(const dispatch_chunk_t *chunk, void *user_data)
{
}

static void silent_renew(const dispatch_chunk_t *chunk, const GArray *suspects,
			 void *user_data)
{
}

static void silent_run(dispatcher_t *dispatcher, clock_manual_t *clock,
		       int64_t ms)
{
	for (int64_t t = 0; t < ms; t += 100) {
		clock_manual_advance_ms(clock, 100);
		dispatcher_tick(dispatcher);
	}
}

/* A chunk whose lease has expired is granted to its holder again. Guards against
 * items that run on without a lease when that one expires as well: another node
 * may have the chunk, and the job may have been cancelled. */
static void test_lease_after_recovery(void)
{
	static const char text[] =
		"{\"custom_id\":\"i0\",\"method\":\"POST\","
		"\"url\":\"/v1/chat/completions\",\"body\":{\"model\":"
		"\"muse\",\"messages\":[{\"role\":\"user\","
		"\"content\":\"c\"}]}}\n";
	const slot_options_t slots = { .policy = SLOT_FIXED, .fixed = 2 };
	const dispatcher_runner_info_t runner = { "r0", "guild", "muse" };
	silent_t silent = { 0 };
	const dispatcher_ops_t ops = { .start = silent_start,
				       .stop = silent_stop,
				       .pull = silent_pull,
				       .load = silent_load,
				       .renew = silent_renew,
				       .user_data = &silent };
	dispatcher_grant_t grant = { .partner = "guild",
				     .deployment = "muse",
				     .job = "job",
				     .input_file_id = "file",
				     .count = 1 };
	GBytes *data = g_bytes_new_static(text, sizeof(text) - 1);
	clock_manual_t clock;
	dispatcher_t *dispatcher;

	clock_manual_init(&clock, 1000000);
	dispatcher = dispatcher_new(&ops, &clock.base, &slots);
	dispatcher_set_runners(dispatcher, &runner, 1);
	dispatcher_report_slots(dispatcher, "r0", 2);
	for (int i = 0; i < 2; i++) {
		grant.lease_until_ms =
			clock_now_ms(&clock.base) + COORDINATOR_LEASE_MS;
		dispatcher_granted(dispatcher, &grant);
		dispatcher_loaded(dispatcher, "job", 0, data);
		silent_run(dispatcher, &clock, 1000);
		CU_ASSERT_EQUAL(silent.running, 1);
		silent_run(dispatcher, &clock, COORDINATOR_LEASE_MS);
		CU_ASSERT_EQUAL(silent.running, 0);
	}
	CU_ASSERT_EQUAL(dispatcher_chunks(dispatcher), 1);
	dispatcher_free(dispatcher);
	g_bytes_unref(data);
}

static void note_pull(const char *partner, const char *deployment,
		      void *user_data)
{
	GString *pulled = user_data;

	g_string_append_printf(pulled, "%s ", deployment);
}

/* A runner is listed for another deployment than before. Guards against running
 * items of the former one there, and none of its own. */
static void test_runner_of_another_deployment(void)
{
	const slot_options_t slots = { .policy = SLOT_FIXED, .fixed = 2 };
	const dispatcher_runner_info_t former = { "r0", "guild", "muse" };
	const dispatcher_runner_info_t next = { "r0", "guild", "other" };
	GString *pulled = g_string_new(NULL);
	const dispatcher_ops_t ops = { .pull = note_pull, .user_data = pulled };
	clock_manual_t clock;
	dispatcher_t *dispatcher;

	clock_manual_init(&clock, 1000000);
	dispatcher = dispatcher_new(&ops, &clock.base, &slots);
	dispatcher_set_runners(dispatcher, &former, 1);
	dispatcher_report_slots(dispatcher, "r0", 2);
	dispatcher_tick(dispatcher);
	CU_ASSERT_STRING_EQUAL(pulled->str, "muse ");
	g_string_set_size(pulled, 0);
	dispatcher_set_runners(dispatcher, &next, 1);
	dispatcher_report_slots(dispatcher, "r0", 2);
	clock_manual_advance_ms(&clock, 5000);
	dispatcher_tick(dispatcher);
	CU_ASSERT_STRING_EQUAL(pulled->str, "other ");
	dispatcher_free(dispatcher);
	g_string_free(pulled, TRUE);
}

int main(void)
{
	static const unit_test_t tests[] = {
		{ "lease after recovery", test_lease_after_recovery },
		{ "runner of another deployment",
		  test_runner_of_another_deployment },
		{ "histories", test_histories },
		{ NULL, NULL },
	};

	return unit_run("dispatcher", tests);
}
