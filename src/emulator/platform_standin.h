#ifndef WASABILINK_EMULATOR_PLATFORM_STANDIN_H
#define WASABILINK_EMULATOR_PLATFORM_STANDIN_H

/*
 * platform_standin - the platform's object API in one process, in memory, with
 * a rate limit, outages, delays and lost answers that POST /fault switches.
 *
 * `wasabilink platform`. Returns the process's exit status.
 */
int platform_standin_main(int argc, char **argv);

#endif
