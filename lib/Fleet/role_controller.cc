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

double Share(const RoleDemand& demand) {
  const double sum = demand.prefill_engines + demand.decode_engines;
  return sum > 0 ? demand.prefill_engines / sum : 0.5;
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
    average_ = demand;
    slow_share_ = Share(demand);
    last_demand_ = now;
    return;
  }
  const double elapsed = ToSeconds(now - last_demand_);
  last_demand_ = now;
  const double keep = std::exp(-elapsed / ToSeconds(limits_.smoothing));
  average_.prefill_engines =
      average_.prefill_engines * keep + demand.prefill_engines * (1 - keep);
  average_.decode_engines =
      average_.decode_engines * keep + demand.decode_engines * (1 - keep);
  const double slow_keep =
      std::exp(-elapsed / (kSlowHorizons * ToSeconds(limits_.horizon)));
  slow_share_ = slow_share_ * slow_keep + Share(average_) * (1 - slow_keep);
  ObserveCrossings(now);
}

void RoleController::ObserveCrossings(Time now) {
  const double share = Share(average_);
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

std::optional<RoleChange> RoleController::Decide(Time now,
                                                 const RoleView& view) const {
  if (view.unsettled || !has_slow_share_) return std::nullopt;
  if (changed_once_ && now - last_change_ < limits_.minimum_dwell) {
    return std::nullopt;
  }
  const auto prefill = static_cast<double>(view.prefill);
  const auto decode = static_cast<double>(view.decode);
  const double present = ServedShare(average_, prefill, decode);
  const double offered = average_.prefill_engines + average_.decode_engines;
  const double payoff =
      kPayoffAtGoodput +
      (kPayoffAtFewChanges - kPayoffAtGoodput) * limits_.change_weight;
  const double persistence_s = ToSeconds(ExpectedPersistence(now));
  std::optional<RoleChange> best;
  double best_gain = 0;
  const auto consider = [&](RoleChange change, double p, double d) {
    const double gained_share = ServedShare(average_, p, d) - present;
    const double gain = gained_share * offered * persistence_s;
    const double cost = ToSeconds(limits_.time_away) * payoff;
    if (gain <= cost || gain <= best_gain) return;
    best = change;
    best_gain = gain;
  };
  if (view.decode > 1) {
    consider(RoleChange::kToPrefill, prefill + 1, decode - 1);
  }
  if (view.prefill > 1) {
    consider(RoleChange::kToDecode, prefill - 1, decode + 1);
  }
  return best;
}

void RoleController::OnChanged(Time now, RoleChange) {
  last_change_ = now;
  changed_once_ = true;
}

}  // namespace corianderlink
