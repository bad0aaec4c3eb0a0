#ifndef WASABILINK_TOOL_JOBS_TOOL_H
#define WASABILINK_TOOL_JOBS_TOOL_H

/*
 * jobs_tool - `wasabilink jobs submit|list|show|wait|cancel|output|errors`
 *
 * Works on the batch jobs of one workspace through an entry node's port for
 * callers. Exit status: 0 done, 64 usage, 65 invalid input, 75 try again, 1
 * otherwise; `wait` returns 1 when the job ended in any state but completed.
 */
int jobs_tool_main(int argc, char **argv);

#endif
