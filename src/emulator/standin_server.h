#ifndef WASABILINK_EMULATOR_STANDIN_SERVER_H
#define WASABILINK_EMULATOR_STANDIN_SERVER_H

#include <glib.h>

#include "http/http_server.h"

/*
 * standin_server - listens and runs the loop of an emulator's process.
 */

/* Logs the failure and returns NULL when the port cannot be had. */
http_server_t *standin_server_listen(const http_server_options_t *options);
/* Returns after SIGTERM or SIGINT. */
void standin_server_run(struct event_base *base);

#endif
