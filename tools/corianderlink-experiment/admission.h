// Experiment on admission.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_ADMISSION_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_ADMISSION_H_

#include <cstdint>

#include "corianderlink-experiment/report.h"
#include "corianderlink-experiment/workload.h"

namespace corianderlink {

/// Urgent requests under a flood of bulk, a broadcast, and fair shares, each
/// against one line for all.
void RunAdmission(const Deployment& deployment, uint64_t seed,
                  BoundCounts& counts);

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_ADMISSION_H_
