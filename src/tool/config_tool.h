#ifndef WASABILINK_TOOL_CONFIG_TOOL_H
#define WASABILINK_TOOL_CONFIG_TOOL_H

/*
 * config_tool - `wasabilink config check|show|diff|apply|promote`.
 *
 * Exit status: 0 done, 64 usage, 65 invalid document, 75 try again later
 * (nothing was changed, or it is not known), 1 otherwise, such as a change
 * that lost to another operator's.
 */
int config_tool_main(int argc, char **argv);

#endif
