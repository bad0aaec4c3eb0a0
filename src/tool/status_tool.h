#ifndef WASABILINK_TOOL_STATUS_TOOL_H
#define WASABILINK_TOOL_STATUS_TOOL_H

/*
 * status_tool - `wasabilink status`: what one entry node knows: members,
 * configuration version, the partner's runners, shards. Exit status as of
 * config_tool.
 */
int status_tool_main(int argc, char **argv);

#endif
