#ifndef WASABILINK_GATEWAY_BATCH_RULE_H
#define WASABILINK_GATEWAY_BATCH_RULE_H

#include <stdint.h>

/*
 * batch_rule - how many places at a runner batch work leaves free for online
 * requests, by the time that is left until the work is due.
 */
uint32_t batch_reserve(int64_t now_us, int64_t due_us);

#endif
