// Experiment on routing.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_ROUTING_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_ROUTING_H_

#include <cstdint>

#include "corianderlink-experiment/report.h"
#include "corianderlink-experiment/workload.h"

namespace corianderlink {

/// Prefix reuse against round robin, with late reports and lost cache events;
/// and the time of one decision by number of engines.
void RunRouting(const Deployment& deployment, uint64_t seed,
                BoundCounts& counts);

/// Nanoseconds of one decision over `engines` engines.
double DecisionNanoseconds(int engines);

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_ROUTING_H_
