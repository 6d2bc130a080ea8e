// Decides how many engines have the prefill role and how many the decode role.
#include "corianderlink/Fleet/role_controller.h"

#include <algorithm>
#include <cmath>

namespace corianderlink {
namespace {

// Time constant of the baseline, as a multiple of the horizon.
constexpr double kBaselineWindowHorizons = 2;
// Distance of the prefill share from the baseline below which it counts as
// noise and not as a crossing.
constexpr double kCrossingHysteresis = 0.03;
constexpr size_t kMaxCrossings = 8;
// Minimum ratio of the work gained to the work lost by a change, at change
// weights 0 and 1.
constexpr double kMinPayoffAtWeight0 = 1.0;
constexpr double kMinPayoffAtWeight1 = 4.0;
// Minimum gain of a change, as a fraction of the offered work, by the short and
// the long average: the value at change weight 0, and what weight 1 adds to it.
constexpr double kMinShortGainAtWeight0 = 0.05;
constexpr double kMinShortGainPerWeight = 0.06;
constexpr double kMinLongGainAtWeight0 = 0.01;
constexpr double kMinLongGainPerWeight = 0.03;

// Returns the prefill part of the demand, in [0, 1].
double PrefillShare(const RoleDemand& demand) {
  const double sum = demand.prefill_engines + demand.decode_engines;
  return sum > 0 ? demand.prefill_engines / sum : 0.5;
}

// Updates the exponential `average` by a sample taken `elapsed_s` seconds after
// the previous one.
void UpdateAverage(RoleDemand& average, const RoleDemand& demand,
                   double elapsed_s, Duration window) {
  const double decay = std::exp(-elapsed_s / ToSeconds(window));
  average.prefill_engines =
      average.prefill_engines * decay + demand.prefill_engines * (1 - decay);
  average.decode_engines =
      average.decode_engines * decay + demand.decode_engines * (1 - decay);
}

}  // namespace

double RoleController::ServedShare(const RoleDemand& demand, double prefill,
                                   double decode) {
  // Each request needs prefill and decode, so the scarcer role limits the
  // served fraction.
  double served = 1;
  if (demand.prefill_engines > 0) {
    served = std::min(served, prefill / demand.prefill_engines);
  }
  if (demand.decode_engines > 0) {
    served = std::min(served, decode / demand.decode_engines);
  }
  return served;
}

void RoleController::OnDemand(Time now, const RoleDemand& demand) {
  if (!has_baseline_) {
    has_baseline_ = true;
    first_demand_time_ = now;
    short_average_ = long_average_ = demand;
    baseline_share_ = PrefillShare(demand);
    last_demand_time_ = now;
    return;
  }
  const double elapsed_s = ToSeconds(now - last_demand_time_);
  last_demand_time_ = now;
  UpdateAverage(short_average_, demand, elapsed_s, options_.short_window);
  UpdateAverage(long_average_, demand, elapsed_s, options_.long_window);
  const double baseline_decay = std::exp(
      -elapsed_s / (kBaselineWindowHorizons * ToSeconds(options_.horizon)));
  baseline_share_ = baseline_share_ * baseline_decay +
                    PrefillShare(short_average_) * (1 - baseline_decay);
  DetectCrossing(now);
}

void RoleController::DetectCrossing(Time now) {
  const double share = PrefillShare(short_average_);
  const double threshold = above_baseline_
                               ? baseline_share_ - kCrossingHysteresis
                               : baseline_share_ + kCrossingHysteresis;
  const bool crossed = above_baseline_ ? share < threshold : share > threshold;
  if (!crossed) return;
  above_baseline_ = !above_baseline_;
  crossing_times_.push_back(now);
  if (crossing_times_.size() > kMaxCrossings) crossing_times_.pop_front();
}

Duration RoleController::ExpectedPersistence(Time now) const {
  if (crossing_times_.size() < 3) return options_.horizon;
  // Mean of the latest four intervals between crossings.  If the current
  // interval is longer already, the oscillation is taken to have ended.
  const size_t intervals = std::min<size_t>(crossing_times_.size() - 1, 4);
  const Time first_crossing =
      crossing_times_[crossing_times_.size() - 1 - intervals];
  const Duration mean_interval = (crossing_times_.back() - first_crossing) /
                                 static_cast<int64_t>(intervals);
  const Duration current_interval = now - crossing_times_.back();
  if (current_interval > mean_interval) return options_.horizon;
  // Time until the next crossing, if the current interval is a mean one.
  return std::min(options_.horizon,
                  std::max(mean_interval - current_interval, Duration(0)));
}

double RoleController::ServedShareGain(const RoleDemand& demand,
                                       const RoleView& view,
                                       RoleChange change) const {
  const auto prefill = static_cast<double>(view.prefill);
  const auto decode = static_cast<double>(view.decode);
  const double delta = change == RoleChange::kToPrefill ? 1 : -1;
  return ServedShare(demand, prefill + delta, decode - delta) -
         ServedShare(demand, prefill, decode);
}

bool RoleController::IsWorthwhile(Time now, const RoleView& view,
                                  RoleChange change) const {
  const size_t source_count =
      change == RoleChange::kToPrefill ? view.decode : view.prefill;
  if (source_count <= 1) return false;
  const double weight = options_.change_weight;
  const double short_gain = ServedShareGain(short_average_, view, change);
  const double long_gain = ServedShareGain(long_average_, view, change);
  const bool significant =
      short_gain >= kMinShortGainAtWeight0 + kMinShortGainPerWeight * weight ||
      (short_gain > 0 &&
       long_gain >= kMinLongGainAtWeight0 + kMinLongGainPerWeight * weight);
  if (!significant) return false;
  const double min_payoff =
      kMinPayoffAtWeight0 +
      (kMinPayoffAtWeight1 - kMinPayoffAtWeight0) * weight;
  const double offered =
      short_average_.prefill_engines + short_average_.decode_engines;
  const double work_gain = std::max(short_gain, long_gain) * offered *
                           ToSeconds(ExpectedPersistence(now));
  return work_gain > ToSeconds(options_.reconfiguration_time) * min_payoff;
}

std::optional<RoleChange> RoleController::Decide(Time now,
                                                 const RoleView& view) const {
  if (view.engine_unavailable || !has_baseline_) return std::nullopt;
  if (has_changed_ && now - last_change_time_ < options_.minimum_dwell) {
    return std::nullopt;
  }
  for (const RoleChange change :
       {RoleChange::kToPrefill, RoleChange::kToDecode}) {
    if (IsWorthwhile(now, view, change)) return change;
  }
  return std::nullopt;
}

void RoleController::OnChanged(Time now, RoleChange) {
  last_change_time_ = now;
  has_changed_ = true;
}

}  // namespace corianderlink
