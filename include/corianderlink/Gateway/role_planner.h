// Decides how many engines compute prompts and how many generate.
//
// Answers a mix of prompts and outputs that differs from the one that the
// fleet was set up for: the busier of the two roles limits what the fleet
// serves, so the split that makes both equally busy is sought.  A change takes
// an engine away for seconds and is therefore made only for a clear gain.
#ifndef CORIANDERLINK_GATEWAY_ROLE_PLANNER_H_
#define CORIANDERLINK_GATEWAY_ROLE_PLANNER_H_

#include <optional>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Demand of all gateways on the engines of one service.
struct ServiceDemand {
  /// Engine time for computing prompts, on prefill engines, ms a second.
  double prefill_ms_per_s = 0;
  /// Link time for handing prompts over to decode engines, ms a second.
  double handover_ms_per_s = 0;
  /// Requests that generate at the same time.
  double generating = 0;
};

/// An engine as the planner sees it.
struct EngineSnapshot {
  UpstreamId id;
  UpstreamRole role = UpstreamRole::kDecode;
  ZoneId zone;
  int slots = 1;
  uint32_t requests = 0;
  /// Ejected or hanging, so that it counts as lost for now.
  bool in_trouble = false;
};

/// An engine that is to change its role.
struct RoleChange {
  UpstreamId engine;
  UpstreamRole role = UpstreamRole::kPrefill;
};

struct RolePlannerLimits {
  /// No change before the demand was observed for this long.
  Duration warm_up = seconds(2);
  /// Decode engines are at least this share of all, so that some are left
  /// after a loss.
  double min_decode_share = 0.34;
  /// A change must lower the load of the busier role by this share.
  double min_gain = 0.12;
  /// Load of the busier role below which no change is worth it.
  double min_load = 0.15;
  /// Share of the engines that may change at the same time, while the load is
  /// under `calm_load` and beyond it; one always may.
  double max_share_at_once = 0.34;
  double max_share_under_load = 0.15;
  double calm_load = 0.6;
  /// Time after a change before one in the other direction.
  Duration reversal_dwell = seconds(30);
  /// Time without engines coming or going, and with few in trouble, before a
  /// change.
  Duration settle = seconds(4);
  /// Share of the engines whose trouble is no reason to wait: in a large fleet
  /// some engine hangs for a moment at almost any time.
  double tolerated_trouble = 0.05;
};

class RolePlanner {
 public:
  explicit RolePlanner(RolePlannerLimits limits) : limits_(limits) {}

  /// Takes the present demand and engines; returns the changes to make now.
  std::vector<RoleChange> Plan(Time now, const ServiceDemand& demand,
                               const std::vector<EngineSnapshot>& engines);
  /// A change was ordered.
  void OnOrdered(Time now, const RoleChange& change);

 private:
  double Load(const ServiceDemand& demand, double prefill, double decode,
              double slots) const;
  static std::vector<RoleChange> Choose(std::vector<EngineSnapshot> engines,
                                        UpstreamRole to, double count);
  void NoteMembership(Time now, const std::vector<EngineSnapshot>& engines);
  bool TooMuchTrouble(const std::vector<EngineSnapshot>& engines) const;

  const RolePlannerLimits limits_;
  std::optional<Time> first_demand_;
  std::vector<UpstreamId> members_;
  // Since then the fleet has been whole and the same.
  Time settled_since_{};
  std::optional<UpstreamRole> last_direction_;
  Time last_change_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ROLE_PLANNER_H_
