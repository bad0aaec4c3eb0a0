#ifndef WASABILINK_EMULATOR_PLATFORM_STANDIN_H
#define WASABILINK_EMULATOR_PLATFORM_STANDIN_H

/*
 * platform_standin - the platform's object API (docs/design.md) in one
 * process, in memory. POST /fault switches faults (standin_fault.h), PUT /vms
 * sets the VM list, GET /stats counts calls (standin_stats.h).
 *
 * It can listen on further ports, so that each failure domain uses its own and
 * a partition of one domain is a block of its port.
 *
 * `wasabilink platform`. Returns the process's exit status.
 */
int platform_standin_main(int argc, char **argv);

#endif
