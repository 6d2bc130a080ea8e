// Slopes of state, time and messages for the capacity page.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_CAPACITY_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_CAPACITY_H_

namespace corianderlink {

/// Prints one JSON line per item and size, and a fit per item.
void RunCapacity();

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_CAPACITY_H_
