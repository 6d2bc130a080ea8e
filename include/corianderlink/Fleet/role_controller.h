// Decides how many engines compute prompts and how many generate.
//
// A change is made only if the work that it saves over the horizon exceeds the
// work lost while the engine is away, weighted per deployment.  Two averages of
// the demand keep noise out: a large gain counts as soon as the short average
// shows it, a small one only once the long average does.
#ifndef CORIANDERLINK_FLEET_ROLE_CONTROLLER_H_
#define CORIANDERLINK_FLEET_ROLE_CONTROLLER_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Demand in units of one engine's full-time work.
struct RoleDemand {
  double prefill_engines = 0;
  double decode_engines = 0;
};

struct RoleLimits {
  /// 0 weighs goodput only; 1 weighs changes most.
  double change_weight = 0.5;
  /// Time between two changes.
  Duration minimum_dwell = seconds(10);
  /// Time over which a change has to pay.
  Duration horizon = seconds(300);
  /// Time that a change takes an engine away.
  Duration time_away = seconds(5);
  /// Windows of the two demand averages.
  Duration short_window = seconds(10);
  Duration long_window = seconds(60);
};

/// State of the fleet when a decision is due.
struct RoleView {
  size_t prefill = 0;
  size_t decode = 0;
  /// True while an engine is away or lost; then nothing is changed.
  bool unsettled = false;
};

/// The direction of one role change.
enum class RoleChange { kToPrefill, kToDecode };

class RoleController {
 public:
  explicit RoleController(RoleLimits limits) : limits_(limits) {}

  /// Records the demand measured at admission.
  void OnDemand(Time now, const RoleDemand& demand);

  /// The change to make now, if one pays.  The caller reports it back by
  /// calling `OnChanged` once it was ordered.
  std::optional<RoleChange> Decide(Time now, const RoleView& view) const;
  void OnChanged(Time now, RoleChange change);

  /// Share of the offered work that a split can serve, in [0, 1].
  static double ServedShare(const RoleDemand& demand, double prefill,
                            double decode);

  /// The demand over the short window.
  const RoleDemand& demand() const { return short_; }
  /// How long the demand is expected to stay on its present side; the shorter,
  /// the faster it swings.
  Duration ExpectedPersistence(Time now) const;

 private:
  void ObserveCrossings(Time now);
  double GainShare(const RoleDemand& demand, const RoleView& view,
                   RoleChange change) const;
  bool Pays(Time now, const RoleView& view, RoleChange change) const;

  const RoleLimits limits_;
  RoleDemand short_;
  RoleDemand long_;
  Time last_demand_{};
  Time last_change_{};
  bool changed_once_ = false;
  /// Slow average of the prefill share, against which swings are counted.
  double slow_share_ = 0;
  bool has_slow_share_ = false;
  bool above_ = false;
  Time first_demand_{};
  std::deque<Time> crossings_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_ROLE_CONTROLLER_H_
