#ifndef WASABILINK_EMULATOR_ENGINE_H
#define WASABILINK_EMULATOR_ENGINE_H

/*
 * engine - emulates a model engine (docs/design.md, engine interface).
 *
 * Answers are a function of the prompt (answer.h); time is a function of the
 * running streams, the prompt's length and the prefix cache (generation.h,
 * prefix_cache.h). Faults come by POST /fault (engine_fault.h), and a prompt
 * can ask for one: "[fail]" gets 400, "[kill]" ends the process, "[long]" makes
 * the answer 50 times longer. GET /engine/runs?by=request|key|work shows how
 * often work was run (run_count.h).
 *
 * `wasabilink engine`. Returns the process's exit status.
 */
int engine_main(int argc, char **argv);

#endif
