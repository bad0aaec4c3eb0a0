#ifndef WASABILINK_TOOL_LOAD_H
#define WASABILINK_TOOL_LOAD_H

/*
 * load - sends load and prints what came of it as name=value lines.
 *
 * `wasabilink load URL...`. Exit status 0; 1 when an answer was not the one to
 * its own request (--expect-run); 64 for bad settings.
 */
int load_main(int argc, char **argv);

#endif
