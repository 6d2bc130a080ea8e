// Decides how many engines of a service run prefill and how many run decode.
//
// The ratio of prompt to output tokens may differ from the one that the fleet
// was set up for.  The busier of the two roles limits the throughput, so the
// planner looks for the split with the lowest load of the busier role.  A role
// change takes an engine out of service for seconds and is therefore made only
// for a clear gain.
#ifndef CORIANDERLINK_GATEWAY_ROLE_PLANNER_H_
#define CORIANDERLINK_GATEWAY_ROLE_PLANNER_H_

#include <optional>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Demand on the engines of one service, from one gateway or from all.
struct ServiceDemand {
  /// Time of prefill engines for computing prompts, in ms per second.
  double prefill_ms_per_s = 0;
  /// Link time for KV cache transfers to decode engines, in ms per second.
  double handover_ms_per_s = 0;
  /// Average number of requests that generate at the same time.
  double generating = 0;
  /// How much prefill work decode engines bear beside their streams: 0 for
  /// none, 1 for as much as comes.
  double decode_prefill = 1;
};

/// State of an engine at planning time.
struct EngineSnapshot {
  UpstreamId id;
  UpstreamRole role = UpstreamRole::kDecode;
  ZoneId zone;
  SoftwareVersion version;
  int slots = 1;
  uint32_t requests = 0;
  /// Ejected or stalled, and therefore unavailable for now.
  bool unhealthy = false;
};

/// A change of an engine's role.
struct RoleChange {
  UpstreamId engine;
  /// The new role.
  UpstreamRole role = UpstreamRole::kPrefill;
};

struct RolePlannerLimits {
  /// No change is made before demand has been observed for this long.
  Duration warm_up = seconds(2);
  /// Minimum fraction of decode engines, so that some are left after failures:
  /// if they compute no prompts beside their streams, and if they do.
  double min_decode_fraction = 0.2;
  double min_mixed_decode_fraction = 0.34;
  /// A change must lower the load of the busier role by at least this fraction.
  double min_gain = 0.12;
  /// No change is made while the load of the busier role is below this.
  double min_load = 0.15;
  /// Maximum fractions of the engines that change at the same time, while the
  /// load is below `low_load` and otherwise.  One engine may always change.
  double max_fraction_at_low_load = 0.34;
  double max_fraction_under_load = 0.2;
  double low_load = 0.6;
  /// Minimum time between a change and one in the opposite direction.
  Duration reversal_dwell = seconds(30);
  /// No change is made before the set of engines has stayed the same, with few
  /// unhealthy ones, for this long.
  Duration stable_time = seconds(4);
  /// Fraction of the engines that may be unhealthy without delaying a change:
  /// in a large fleet, some engine is stalled for a moment at almost any time.
  double tolerated_unhealthy_fraction = 0.06;
};

/// Plans the role changes of the engines of one service.
class RolePlanner {
 public:
  explicit RolePlanner(RolePlannerLimits limits) : limits_(limits) {}

  /// Returns the role changes to make now, for the current demand and engines.
  std::vector<RoleChange> Plan(Time now, const ServiceDemand& demand,
                               const std::vector<EngineSnapshot>& engines);
  /// The engine was ordered to change its role.
  void OnOrdered(Time now, const RoleChange& change);

 private:
  /// Load of the busier role if `prefill` and `decode` engines with `slots`
  /// slots each serve `demand`; 1 is full use.
  double BusierRoleLoad(const ServiceDemand& demand, double prefill,
                        double decode, double slots) const;
  /// Selects up to `count` engines to change to the role `to`.
  static std::vector<RoleChange> SelectChanges(
      std::vector<EngineSnapshot> engines, UpstreamRole to, double count);
  void UpdateMembership(Time now, const std::vector<EngineSnapshot>& engines);
  bool TooManyUnhealthy(const std::vector<EngineSnapshot>& engines) const;

  const RolePlannerLimits limits_;
  std::optional<Time> first_demand_at_;
  std::vector<UpstreamId> members_;
  // Start of the period with the same engines and few unhealthy ones.
  Time stable_since_{};
  std::optional<UpstreamRole> last_direction_;
  Time last_change_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ROLE_PLANNER_H_
