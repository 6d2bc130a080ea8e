// Decides how many engines compute prompts and how many generate.
#include "corianderlink/Fleet/role_controller.h"

#include <algorithm>
#include <cmath>

namespace corianderlink {
namespace {

// The slow average spans this many horizons.
constexpr double kSlowHorizons = 2;
// Swings smaller than this share around the slow average are noise.
constexpr double kSwingBand = 0.03;
constexpr size_t kMaxCrossings = 8;
// Gain in work over cost in work that is asked for at weight 0 and 1.
constexpr double kPayoffAtGoodput = 1.0;
constexpr double kPayoffAtFewChanges = 4.0;
// Share of the offered work that a change has to gain, by the short and the
// long average, at weight 0; and what weight 1 adds.
constexpr double kShortGain = 0.05;
constexpr double kShortGainPerWeight = 0.06;
constexpr double kLongGain = 0.01;
constexpr double kLongGainPerWeight = 0.03;

double Share(const RoleDemand& demand) {
  const double sum = demand.prefill_engines + demand.decode_engines;
  return sum > 0 ? demand.prefill_engines / sum : 0.5;
}

// Moves `average` towards `demand` over `window`.
void Smooth(RoleDemand& average, const RoleDemand& demand, double elapsed_s,
            Duration window) {
  const double keep = std::exp(-elapsed_s / ToSeconds(window));
  average.prefill_engines =
      average.prefill_engines * keep + demand.prefill_engines * (1 - keep);
  average.decode_engines =
      average.decode_engines * keep + demand.decode_engines * (1 - keep);
}

}  // namespace

double RoleController::ServedShare(const RoleDemand& demand, double prefill,
                                   double decode) {
  // A request needs both parts, so the scarcer one bounds what is served.
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
  if (!has_slow_share_) {
    has_slow_share_ = true;
    first_demand_ = now;
    short_ = long_ = demand;
    slow_share_ = Share(demand);
    last_demand_ = now;
    return;
  }
  const double elapsed = ToSeconds(now - last_demand_);
  last_demand_ = now;
  Smooth(short_, demand, elapsed, limits_.short_window);
  Smooth(long_, demand, elapsed, limits_.long_window);
  const double slow_keep =
      std::exp(-elapsed / (kSlowHorizons * ToSeconds(limits_.horizon)));
  slow_share_ = slow_share_ * slow_keep + Share(short_) * (1 - slow_keep);
  ObserveCrossings(now);
}

void RoleController::ObserveCrossings(Time now) {
  const double share = Share(short_);
  const double bound =
      above_ ? slow_share_ - kSwingBand : slow_share_ + kSwingBand;
  const bool crossed = above_ ? share < bound : share > bound;
  if (!crossed) return;
  above_ = !above_;
  crossings_.push_back(now);
  if (crossings_.size() > kMaxCrossings) crossings_.pop_front();
}

Duration RoleController::ExpectedPersistence(Time now) const {
  if (crossings_.size() < 3) return limits_.horizon;
  // Mean time between the latest crossings, the open one included if it has
  // lasted longer already.
  const size_t intervals = std::min<size_t>(crossings_.size() - 1, 4);
  const Time from = crossings_[crossings_.size() - 1 - intervals];
  const Duration mean =
      (crossings_.back() - from) / static_cast<int64_t>(intervals);
  const Duration open = now - crossings_.back();
  if (open > mean) return limits_.horizon;
  // What is left of an average swing.
  return std::min(limits_.horizon, std::max(mean - open, Duration(0)));
}

double RoleController::GainShare(const RoleDemand& demand, const RoleView& view,
                                 RoleChange change) const {
  const auto prefill = static_cast<double>(view.prefill);
  const auto decode = static_cast<double>(view.decode);
  const double step = change == RoleChange::kToPrefill ? 1 : -1;
  return ServedShare(demand, prefill + step, decode - step) -
         ServedShare(demand, prefill, decode);
}

bool RoleController::Pays(Time now, const RoleView& view,
                          RoleChange change) const {
  const size_t from =
      change == RoleChange::kToPrefill ? view.decode : view.prefill;
  if (from <= 1) return false;
  const double weight = limits_.change_weight;
  const double quick = GainShare(short_, view, change);
  const double lasting = GainShare(long_, view, change);
  const bool significant =
      quick >= kShortGain + kShortGainPerWeight * weight ||
      (quick > 0 && lasting >= kLongGain + kLongGainPerWeight * weight);
  if (!significant) return false;
  const double payoff =
      kPayoffAtGoodput + (kPayoffAtFewChanges - kPayoffAtGoodput) * weight;
  const double offered = short_.prefill_engines + short_.decode_engines;
  const double gain =
      std::max(quick, lasting) * offered * ToSeconds(ExpectedPersistence(now));
  return gain > ToSeconds(limits_.time_away) * payoff;
}

std::optional<RoleChange> RoleController::Decide(Time now,
                                                 const RoleView& view) const {
  if (view.unsettled || !has_slow_share_) return std::nullopt;
  if (changed_once_ && now - last_change_ < limits_.minimum_dwell) {
    return std::nullopt;
  }
  for (const RoleChange change :
       {RoleChange::kToPrefill, RoleChange::kToDecode}) {
    if (Pays(now, view, change)) return change;
  }
  return std::nullopt;
}

void RoleController::OnChanged(Time now, RoleChange) {
  last_change_ = now;
  changed_once_ = true;
}

}  // namespace corianderlink
