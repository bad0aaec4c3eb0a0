#ifndef WASABILINK_EMULATOR_STANDIN_ANSWER_H
#define WASABILINK_EMULATOR_STANDIN_ANSWER_H

#include <event2/event.h>
#include <jansson.h>

#include "emulator/standin_fault.h"
#include "http/http_server.h"
#include "object/object_table.h"

/*
 * standin_answer - answers of the platform stand-in, which its faults delay,
 * lose (the connection closes instead) or hold back.
 */
typedef struct standin_answer {
	int status;
	const table_object_t *object; /* version and writer headers, or NULL */
	const void *body; /* NULL with an object: its value */
	size_t body_len;
} standin_answer_t;

void standin_answer_send(struct event_base *base, standin_fault_t *fault,
			 http_exchange_t *exchange,
			 const standin_answer_t *answer);
/* Sends JSON; takes over the reference. */
void standin_answer_json(struct event_base *base, standin_fault_t *fault,
			 http_exchange_t *exchange, int status, json_t *root);

/* Calls without an answer, until release or until the client gives up. */
typedef struct standin_held standin_held_t;

standin_held_t *standin_held_new(void);
void standin_held_add(standin_held_t *held, http_exchange_t *exchange);
/* Closes the connections of all held calls. */
void standin_held_release(standin_held_t *held);

#endif
