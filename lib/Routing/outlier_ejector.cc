// Outlier ejection of failing upstreams.
#include "corianderlink/Routing/outlier_ejector.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Share of its normal load that an upstream gets right after an ejection.
constexpr double kMinSlowStartShare = 0.1;
// Upper bound on the exponent of the backoff.
constexpr int kMaxDoublings = 10;

}  // namespace

size_t OutlierEjector::CountEjected(Time now) const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(),
      [&](const auto& entry) { return entry.second.until > now; }));
}

void OutlierEjector::OnSuccess(const Address& upstream) {
  const auto it = states_.find(upstream);
  if (it == states_.end()) return;
  it->second.failures = 0;
  it->second.ejection_count = std::max(0, it->second.ejection_count - 1);
}

void OutlierEjector::OnFailure(Time now, const Address& upstream,
                               size_t fleet_size) {
  State& state = states_[upstream];
  ++state.failures;
  if (state.failures < limits_.failure_threshold || state.until > now) return;
  const auto allowed =
      std::max<size_t>(1, static_cast<size_t>(static_cast<double>(fleet_size) *
                                              limits_.max_ejected_share));
  const bool only_upstream = fleet_size <= 1;
  if (only_upstream || CountEjected(now) >= allowed) return;
  Eject(now, state);
}

void OutlierEjector::OnUnreachable(Time now, const Address& upstream) {
  State& state = states_[upstream];
  if (state.until <= now) Eject(now, state);
}

void OutlierEjector::OnReachable(const Address& upstream) {
  const auto it = states_.find(upstream);
  if (it != states_.end()) it->second.unreachable_until = {};
}

void OutlierEjector::Eject(Time now, State& state) {
  const int doublings = std::min(state.ejection_count, kMaxDoublings);
  state.until = now + std::min(limits_.max_ejection_time,
                               limits_.base_ejection_time * (1 << doublings));
  ++state.ejection_count;
  state.failures = 0;
}

bool OutlierEjector::IsEjected(Time now, const Address& upstream) const {
  const auto it = states_.find(upstream);
  if (it == states_.end()) return false;
  return it->second.until > now || it->second.unreachable_until > now;
}

double OutlierEjector::SlowStartShare(Time now, const Address& upstream) const {
  const auto it = states_.find(upstream);
  if (it == states_.end() || it->second.until == Time{}) return 1;
  if (it->second.until > now) return 0;
  const double progress =
      ToSeconds(now - it->second.until) / ToSeconds(limits_.slow_start_time);
  return std::min(1.0,
                  kMinSlowStartShare + (1 - kMinSlowStartShare) * progress);
}

}  // namespace corianderlink
