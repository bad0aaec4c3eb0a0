#ifndef WASABILINK_BATCH_DISPATCHER_SCHEDULE_H
#define WASABILINK_BATCH_DISPATCHER_SCHEDULE_H

#include "batch/dispatcher_state.h"

/*
 * dispatcher_schedule - which item runs next on which runner, and when chunks
 * are pulled or handed back. Its one public function is dispatcher_tick().
 */

#endif
