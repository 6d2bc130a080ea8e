// Experiment on retries.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_RETRIES_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_RETRIES_H_

#include <cstdint>

#include "corianderlink-experiment/report.h"

namespace corianderlink {

/// Load that retries add while upstreams fail, against three retries each.
void RunRetries(uint64_t seed, BoundCounts& counts);

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_RETRIES_H_
