#ifndef WASABILINK_EMULATOR_SERVICE_H
#define WASABILINK_EMULATOR_SERVICE_H

/*
 * service - emulates a plain service that counts how often it ran a request.
 *
 * `wasabilink service`. Returns the process's exit status.
 */
int service_main(int argc, char **argv);

#endif
