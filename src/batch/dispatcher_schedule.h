#ifndef WASABILINK_BATCH_DISPATCHER_SCHEDULE_H
#define WASABILINK_BATCH_DISPATCHER_SCHEDULE_H

#include "batch/dispatcher_state.h"

/*
 * dispatcher_schedule - selects the item that runs next on each runner and
 * decides when chunks are pulled or released. Its only public function is
 * dispatcher_tick().
 */

#endif
