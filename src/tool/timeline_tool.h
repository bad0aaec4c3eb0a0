#ifndef WASABILINK_TOOL_TIMELINE_TOOL_H
#define WASABILINK_TOOL_TIMELINE_TOOL_H

/*
 * timeline_tool - `wasabilink timeline`: merges the log lines of several
 * processes in order of time, from files and from nodes' operator ports. Equal
 * times keep the order of the sources; a line without a time stamp stays with
 * the line before it. Exit status as of config_tool; when some node could not
 * be asked, the lines of the others are printed all the same.
 */
int timeline_tool_main(int argc, char **argv);

#endif
