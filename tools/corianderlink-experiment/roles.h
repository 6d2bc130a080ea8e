// Experiment on role changes.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_ROLES_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_ROLES_H_

#include <cstdint>
#include <string>

#include "corianderlink-experiment/report.h"
#include "corianderlink-experiment/workload.h"

namespace corianderlink {

/// Compares the role controller with a static split, a naive follower and the
/// best offline schedule on all shapes and periods.  `policy` limits the lines
/// to one policy, if not empty.
void RunRoles(const Deployment& deployment, uint64_t seed,
              const std::string& policy, BoundCounts& counts);

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_ROLES_H_
