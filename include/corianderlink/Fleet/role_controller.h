// Decides how many engines have the prefill role and how many the decode role.
//
// A role change is made only if the additional work served over the horizon
// exceeds the work lost while the engine is reconfigured, by a factor that the
// deployment's change weight sets.  Two exponential averages of the demand
// filter out noise: a large gain counts as soon as the short average shows it,
// a small one only once the long average shows it too.
#ifndef CORIANDERLINK_FLEET_ROLE_CONTROLLER_H_
#define CORIANDERLINK_FLEET_ROLE_CONTROLLER_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Demand, as the number of fully loaded engines that each role would need.
struct RoleDemand {
  double prefill_engines = 0;
  double decode_engines = 0;
};

/// Parameters of the role controller.
struct RoleControllerOptions {
  /// Aversion to role changes, from 0 (maximize goodput) to 1 (fewest changes).
  double change_weight = 0.5;
  /// Minimum time between two changes.
  Duration minimum_dwell = seconds(10);
  /// Time over which the gain of a change has to outweigh its cost.
  Duration horizon = seconds(300);
  /// Time for which a change makes the engine unavailable.
  Duration reconfiguration_time = seconds(5);
  /// Time constants of the two exponential demand averages.
  Duration short_window = seconds(10);
  Duration long_window = seconds(60);
};

/// Number of engines in each role, as input to a decision.
struct RoleView {
  size_t prefill = 0;
  size_t decode = 0;
  /// True while an engine is being reconfigured or is lost; no role is changed
  /// then.
  bool engine_unavailable = false;
};

/// The role that one engine changes to.
enum class RoleChange { kToPrefill, kToDecode };

/// Decides on role changes of single engines.
class RoleController {
 public:
  explicit RoleController(RoleControllerOptions options) : options_(options) {}

  /// Adds a sample of the demand, as measured at admission, to the averages.
  void OnDemand(Time now, const RoleDemand& demand);

  /// Returns the change to make now, if one is worthwhile.  The caller has to
  /// call `OnChanged` when it orders the change.
  std::optional<RoleChange> Decide(Time now, const RoleView& view) const;
  /// Starts the minimum time until the next change.
  void OnChanged(Time now, RoleChange change);

  /// Returns the fraction of the offered work, in [0, 1], that `prefill` and
  /// `decode` engines can serve.
  static double ServedShare(const RoleDemand& demand, double prefill,
                            double decode);

  /// The demand averaged over the short window.
  const RoleDemand& demand() const { return short_average_; }
  /// Returns the time for which the prefill share of the demand is expected to
  /// stay on its present side of the baseline, at most the horizon.  The faster
  /// the demand oscillates, the shorter it is.
  Duration ExpectedPersistence(Time now) const;

 private:
  void DetectCrossing(Time now);
  double ServedShareGain(const RoleDemand& demand, const RoleView& view,
                         RoleChange change) const;
  bool IsWorthwhile(Time now, const RoleView& view, RoleChange change) const;

  const RoleControllerOptions options_;
  RoleDemand short_average_;
  RoleDemand long_average_;
  Time last_demand_time_{};
  Time last_change_time_{};
  bool has_changed_ = false;
  /// Slow average of the prefill share, the reference for detecting crossings.
  double baseline_share_ = 0;
  bool has_baseline_ = false;
  bool above_baseline_ = false;
  Time first_demand_time_{};
  std::deque<Time> crossing_times_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_ROLE_CONTROLLER_H_
