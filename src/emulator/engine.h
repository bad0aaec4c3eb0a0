#ifndef WASABILINK_EMULATOR_ENGINE_H
#define WASABILINK_EMULATOR_ENGINE_H

/*
 * engine - emulates a model engine (docs/design.md, engine interface).
 *
 * Answers are a function of the prompt; time is a function of the running
 * streams. `wasabilink engine`. Returns the process's exit status.
 */
int engine_main(int argc, char **argv);

#endif
