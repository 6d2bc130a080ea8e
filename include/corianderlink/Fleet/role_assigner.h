// Assigns the roles of the engines that are declared with role auto.
#ifndef CORIANDERLINK_FLEET_ROLE_ASSIGNER_H_
#define CORIANDERLINK_FLEET_ROLE_ASSIGNER_H_

#include <string>
#include <vector>

#include "corianderlink/Authority/lease_client.h"
#include "corianderlink/Fleet/engine_state.h"
#include "corianderlink/Fleet/fleet_rows.h"
#include "corianderlink/Fleet/role_controller.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Passes the demand on the engines to the role controller, selects the engine
/// for each change and writes its role.
class RoleAssigner {
 public:
  /// The holder of `lease` decides for the whole fleet.  All arguments must
  /// outlive it.
  RoleAssigner(Node& node, const EngineStates& engines, FleetRows& rows,
               LeaseClient& lease);

  /// Starts to write a role change, if one is worthwhile at `now` and this
  /// process decides.
  void Decide(Time now);
  /// The demand averaged over a short time.
  const RoleDemand& demand() const { return controller_.demand(); }

 private:
  /// Input for a role decision: the available engines with automatic role, and
  /// the demand on them.
  struct Snapshot {
    RoleView view;
    RoleDemand demand;
    std::vector<const EngineState*> engines;
  };

  Snapshot TakeSnapshot(Time now) const;
  void WriteRole(const Address& engine, const std::string& role);

  Node& node_;
  const EngineStates& engines_;
  FleetRows& rows_;
  LeaseClient& lease_;
  RoleController controller_;
  /// True while a write of the chosen roles awaits its result.
  bool write_pending_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_ROLE_ASSIGNER_H_
