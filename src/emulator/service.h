#ifndef WASABILINK_EMULATOR_SERVICE_H
#define WASABILINK_EMULATOR_SERVICE_H

/*
 * service - emulates a plain service that counts how often it ran a call.
 *
 * Any path answers 200 with JSON {"method","path","run","body_sha256"}, so
 * that a caller can tell whose answer it got. GET /service/runs shows the
 * counts (see run_count), POST /fault takes the members of engine_fault; a call
 * that cut_rate hits has run.
 *
 * `wasabilink service`. Returns the process's exit status.
 */
int service_main(int argc, char **argv);

#endif
